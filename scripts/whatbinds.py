#!/usr/bin/env python3
"""Summarizes, from the log lines of a deployment's hosts, what limits its performance.

    scripts/whatbinds.py LOG [--from SECONDS] [--to SECONDS] [--ids N] [--summary] [--causes SECONDS]

LOG contains the hosts' JSON lines, each alone or preceded by a time and the host's name ("12.34
front-a-1 {...}"); other lines are ignored. Prints the users' two main figures (the share
of reads by replicas with the reasons for reads by the primary, and every interval without writes),
failed requests grouped by attempts and reason, and per second, with ids for `egrettidectl
explain`, and the steps of promotions and planned changes. The totals of reads cover the whole
log, also with --from and --to. With --causes it prints failed requests by cause and interval instead."""

import argparse
import collections
import json
import re

LINE = re.compile(r"^\s*(?:(-?[\d.]+)\s+(\S+)\s+)?(\{.*\})\s*$")
STEP_EVENTS = ("promotion_", "planned_change_", "primary_announced", "upstream_superseded", "registration_refused")
# Outages of one database that end within this time of each other belong to the same change of primary.
SAME_CHANGE_S = 3.0


def parse_events(lines):
    """Yields (second, host, event) of each log line. Seconds are those before the line, or are counted
    from the first line that has none."""
    first_time_ms = None
    for line in lines:
        match = LINE.match(line)
        if not match:
            continue
        try:
            event = json.loads(match[3])
        except ValueError:
            continue
        if "event" not in event:
            continue
        if match[1] is not None:
            second = float(match[1])
        else:
            first_time_ms = event["time_ms"] if first_time_ms is None else first_time_ms
            second = (event["time_ms"] - first_time_ms) / 1000
        yield second, event.get("host", match[2] or ""), event


def read_events(path):
    with open(path, errors="replace") as lines:
        yield from parse_events(lines)


def format_attempts(event):
    """Returns a request's attempts and their outcomes, with P for the primary and r for any other upstream."""
    attempts = []
    for attempt in event.get("tried", "").split():
        upstream, _, outcome = attempt.partition(":")
        attempts.append(("P" if upstream == event.get("primary") else "r") + ":" + outcome)
    return " ".join(attempts) or "-"


def normalize_reason(reason):
    """Replaces quoted names by X and numbers by N, so that failures of one kind are counted together."""
    return re.sub(r"\d+", "N", re.sub(r"'[^']*'", "X", reason))[:70]


def cause_of(event):
    """Returns why a request failed, in a few words that do not depend on names and numbers."""
    error, reason = event["error"], event["reason"]
    last = event.get("tried", "").split()[-1:]
    if error == "overloaded" and "that counts" in reason:
        return "quota: keeper silent"
    if error == "overloaded":
        at_primary = bool(last) and last[0].startswith(event["primary"] + ":")
        place = "primary" if at_primary else "replica"
        return f"overloaded {place}: " + normalize_reason(reason.removeprefix("Not run: ").split(",")[0])
    detail = re.search(r"\((\w+)", reason) if error == "not_fresh" else None
    return f"{error}: {detail[1] if detail else normalize_reason(reason)[:50]}"


def print_causes(events, interval):
    """Prints one line a cause, with a column for each interval of so many seconds."""
    table = collections.defaultdict(collections.Counter)
    for second, event in events:
        table[cause_of(event)][int(second // interval * interval)] += 1
    columns = sorted({column for counts in table.values() for column in counts})
    print(f"{'failed requests by cause, from second':58} {'all':>6}" + "".join(f"{column:6d}" for column in columns))
    for cause, counts in sorted(table.items(), key=lambda item: -item[1].total()):
        cells = "".join(f"{counts[column] or '':>6}" for column in columns)
        print(f"{cause[:58]:58} {counts.total():6d}{cells}")


class ServedTotals:
    """Totals of the `served` events. A process reports its counts since its own start, so the counts of
    processes that have ended are added to those of running ones."""

    def __init__(self):
        self.ended = collections.Counter()
        self.running = {}

    @staticmethod
    def parse_counts(event):
        counts = collections.Counter()
        for name in ("reads_by_replica", "reads_by_primary", "writes"):
            counts[name] = event[name]
        for pair in filter(None, event["primary_reasons"].split(", ")):
            reason, count = pair.rsplit(" ", 1)
            counts["primary: " + reason] = int(count)
        return counts

    def add(self, host, event):
        if event["event"] == "started":
            self.ended.update(self.running.pop(host, {}))
        elif event["event"] == "served":
            self.running[host] = self.parse_counts(event)

    def total(self):
        total = collections.Counter(self.ended)
        for counts in self.running.values():
            total.update(counts)
        return total


def print_summary(total, outages):
    reads = total["reads_by_replica"] + total["reads_by_primary"]
    share = total["reads_by_replica"] / reads if reads else 0
    reasons = {name[9:]: count for name, count in total.items() if name.startswith("primary: ")}
    reasons_text = ", ".join(f"{name} {count}" for name, count in sorted(reasons.items(), key=lambda item: -item[1]))
    print(f"reads by replicas: {share:.3f} of {reads}; by the primary: {reasons_text or 'none'}")
    changes = []
    for second, database, without in sorted(outages):
        last = changes[-1] if changes else None
        if last and last[1] == database and second - last[0] < SAME_CHANGE_S:
            last[2].append(without)
        else:
            changes.append([second, database, [without]])
    print(f"intervals without writes: {len(changes)}")
    for second, database, lengths in changes:
        print(f"  {second:8.2f} s {database}: {min(lengths)} to {max(lengths)} ms, reported by {len(lengths)} hosts")


def print_failures(failures, by_second, ids):
    print(f"failed attempts logged: {sum(len(each) for each in failures.values())}")
    for key, events in sorted(failures.items(), key=lambda item: -len(item[1]))[:25]:
        waited = sorted(event["waited_ms"] for event in events)
        shown = ", ".join(event["id"] for event in events[:ids])
        print(f"  {len(events):5d}  {key[0]:16} {key[1]:18} {key[2]:44} {key[3]}; waited {waited[len(waited) // 2]}"
              f" to {waited[-1]} ms; {shown}")
    print("failed attempts by second:")
    for second in sorted(by_second):
        counts = ", ".join(f"{name} {count}" for name, count in by_second[second].most_common())
        print(f"  {second:4d}  {counts}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("log")
    parser.add_argument("--from", dest="begin", type=float, default=float("-inf"))
    parser.add_argument("--to", dest="end", type=float, default=float("inf"))
    parser.add_argument("--ids", type=int, default=2)
    parser.add_argument("--summary", action="store_true",
                        help="print only the share of reads by replicas and the intervals without writes")
    parser.add_argument("--causes", type=float, metavar="SECONDS", help="print failed requests by cause and interval only")
    options = parser.parse_args()
    served = ServedTotals()
    outages, steps = [], []
    failures = collections.defaultdict(list)
    by_second = collections.defaultdict(collections.Counter)
    failed = []
    for second, host, event in read_events(options.log):
        served.add(host, event)
        if not options.begin <= second <= options.end:
            continue
        name = event["event"]
        if name == "writes_resumed":
            outages.append((second, event["database"], event["without_ms"]))
        elif name == "request_failed":
            failures[event["kind"], event["error"], format_attempts(event), normalize_reason(event["reason"])].append(event)
            by_second[int(second)][event["error"]] += 1
            failed.append((second, event))
        elif name.startswith(STEP_EVENTS):
            steps.append((second, host, event))
    if options.causes:
        print_causes(failed, options.causes)
        return
    print_summary(served.total(), outages)
    if options.summary:
        return
    print_failures(failures, by_second, options.ids)
    print("promotions and planned changes:")
    for second, host, event in steps:
        fields = {key: value for key, value in event.items() if key not in ("time_ms", "level", "host", "event")}
        print(f"  {second:8.3f} {host} {event['event']} " + " ".join(f"{key}={value}" for key, value in fields.items()))


if __name__ == "__main__":
    main()
