#!/usr/bin/env python3
"""Shows how long each configuration took to reach hosts that could reach the store all the time.

  config_delays.py LOG REPORT [--over S]    LOG, REPORT: of `fleetbench run SITE DAY --log all --report REPORT > LOG`

For each change of the configuration: the time until the first and the last host had accepted it, and each host
that took longer than S seconds (default 2) although the report lists no disturbance of it or of the store between
the change and the acceptance. A delay counts whether or not a request met the host meanwhile. Exit 1 if there is such a host.
"""
import argparse
import json
import re
import sys

# The operator's write is acknowledged about this long after the planned time; hosts may see it earlier.
ACK_S = 0.04
LINE = re.compile(r'^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$')


def accepted(path):
    """(time, host, version, source) of each configuration that a host accepted."""
    found = []
    for line in open(path, encoding='utf-8', errors='replace'):
        match = LINE.match(line)
        if match and '"configuration_accepted"' in match[3]:
            record = json.loads(match[3])
            found.append((float(match[1]), match[2], record['version'], record['source']))
    return sorted(found)


def spans(text):
    return [tuple(float(end) for end in span.split(' to ')) for span in text.split(', ')]


def overlaps(text, start, end):
    return any(begin <= end and start <= until for begin, until in spans(text)) if text else False


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('log')
    parser.add_argument('report')
    parser.add_argument('--over', type=float, default=2.0)
    args = parser.parse_args()
    report = json.load(open(args.report, encoding='utf-8'))
    out = report['touch'].get('out', {})
    unsettled = report['touch'].get('unsettled') or ''
    if unsettled:
        print('store disturbed: ' + unsettled)
    times = accepted(args.log)
    changes = sorted(event['at_s'] for event in report['events'] if event['kind'].startswith('config_change'))
    # The last change that a version holds: the last one before a reader first saw the version.
    holds = {}
    for at, _, version, _ in times:
        holds.setdefault(version, sum(change <= at for change in changes))
    hosts = sorted({host for _, host, _, _ in times})
    late = 0
    for index, change in enumerate(changes, 1):
        delays = []
        for host in hosts:
            having = [(at, source) for at, of, version, source in times if of == host and holds[version] >= index]
            if having:
                at, source = having[0]
                delays.append((at - change - ACK_S, host, source))
        if not delays:
            continue
        delays.sort()
        print(f'{change:7.3f} s  first {max(delays[0][0], 0):.3f} s ({delays[0][1]}), last {max(delays[-1][0], 0):.3f} s ({delays[-1][1]})')
        for delay, host, source in delays:
            end = change + ACK_S + delay
            if delay > args.over and not overlaps(out.get(host), change, end) and not overlaps(unsettled, change, end):
                late += 1
                print(f'           {host} took {delay:.3f} s, from {source}, undisturbed')
    return 1 if late else 0


if __name__ == '__main__':
    sys.exit(main())
