#!/usr/bin/env python3
"""What binds, from the log lines of a deployment's hosts.

    scripts/whatbinds.py LOG [--from SECONDS] [--to SECONDS] [--ids N]

LOG holds the hosts' JSON lines, each alone or behind a time and the host's name ("12.34
front-a-1 {...}"); other lines are passed over. Prints the users' two measures (the share of
reads by replicas with the reasons for the others, and every time without writes), failed
requests by what they tried and why, and by second, with ids that `egrettidectl explain`
explains, and the steps of promotions and planned changes."""

import argparse
import collections
import json
import re

LINE = re.compile(r"^\s*(?:(-?[\d.]+)\s+(\S+)\s+)?(\{.*\})\s*$")
STEPS = ("promotion_", "planned_change_", "primary_announced", "upstream_superseded", "registration_refused")
# Outages that end within this of each other belong to one change of a primary.
ONE_CHANGE_S = 3.0


def events(lines):
    """Yields (second, host, event) of each line; seconds count from the first line."""
    began = None
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
            began = event["time_ms"] if began is None else began
            second = (event["time_ms"] - began) / 1000
        yield second, event.get("host", match[2] or ""), event


def read(path):
    with open(path, errors="replace") as lines:
        yield from events(lines)


def tried(event):
    """What a request tried, with P for the primary and r for any other upstream."""
    parts = []
    for part in event.get("tried", "").split():
        upstream, _, outcome = part.partition(":")
        parts.append(("P" if upstream == event.get("primary") else "r") + ":" + outcome)
    return " ".join(parts) or "-"


def plain(reason):
    return re.sub(r"\d+", "N", re.sub(r"'[^']*'", "X", reason))[:70]


class Served:
    """Totals of the `served` lines: counts rise from a process's start to its end."""

    def __init__(self):
        self.done = collections.Counter()
        self.last = {}

    @staticmethod
    def counts(event):
        counts = collections.Counter()
        for name in ("reads_by_replica", "reads_by_primary", "writes"):
            counts[name] = event[name]
        for pair in filter(None, event["primary_reasons"].split(", ")):
            reason, count = pair.rsplit(" ", 1)
            counts["primary: " + reason] = int(count)
        return counts

    def take(self, host, event):
        if event["event"] == "started":
            self.done.update(self.last.pop(host, {}))
        elif event["event"] == "served":
            self.last[host] = self.counts(event)

    def total(self):
        total = collections.Counter(self.done)
        for counts in self.last.values():
            total.update(counts)
        return total


def print_measures(total, outages):
    reads = total["reads_by_replica"] + total["reads_by_primary"]
    share = total["reads_by_replica"] / reads if reads else 0
    reasons = {name[9:]: count for name, count in total.items() if name.startswith("primary: ")}
    told = ", ".join(f"{name} {count}" for name, count in sorted(reasons.items(), key=lambda item: -item[1]))
    print(f"reads by replicas: {share:.3f} of {reads}; by the primary: {told or 'none'}")
    changes = []
    for second, database, without in sorted(outages):
        last = changes[-1] if changes else None
        if last and last[1] == database and second - last[0] < ONE_CHANGE_S:
            last[2].append(without)
        else:
            changes.append([second, database, [without]])
    print(f"times without writes: {len(changes)}")
    for second, database, lengths in changes:
        print(f"  {second:8.2f} s {database}: {min(lengths)} to {max(lengths)} ms, as {len(lengths)} hosts saw it")


def print_failures(failures, by_second, ids):
    print(f"failed attempts logged: {sum(len(each) for each in failures.values())}")
    for key, events in sorted(failures.items(), key=lambda item: -len(item[1]))[:25]:
        waited = sorted(event["waited_ms"] for event in events)
        shown = ", ".join(event["id"] for event in events[:ids])
        print(f"  {len(events):5d}  {key[0]:16} {key[1]:18} {key[2]:44} {key[3]}; waited {waited[len(waited) // 2]}"
              f" to {waited[-1]} ms; {shown}")
    print("by second:")
    for second in sorted(by_second):
        counts = ", ".join(f"{name} {count}" for name, count in by_second[second].most_common())
        print(f"  {second:4d}  {counts}")


def main():
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("log")
    arguments.add_argument("--from", dest="begin", type=float, default=float("-inf"))
    arguments.add_argument("--to", dest="end", type=float, default=float("inf"))
    arguments.add_argument("--ids", type=int, default=2)
    arguments.add_argument("--summary", action="store_true", help="the two measures alone")
    given = arguments.parse_args()
    served = Served()
    outages, steps = [], []
    failures = collections.defaultdict(list)
    by_second = collections.defaultdict(collections.Counter)
    for second, host, event in read(given.log):
        served.take(host, event)
        if not given.begin <= second <= given.end:
            continue
        name = event["event"]
        if name == "writes_resumed":
            outages.append((second, event["database"], event["without_ms"]))
        elif name == "request_failed":
            failures[event["kind"], event["error"], tried(event), plain(event["reason"])].append(event)
            by_second[int(second)][event["error"]] += 1
        elif name.startswith(STEPS):
            steps.append((second, host, event))
    print_measures(served.total(), outages)
    if given.summary:
        return
    print_failures(failures, by_second, given.ids)
    print("promotions and planned changes:")
    for second, host, event in steps:
        fields = {key: value for key, value in event.items() if key not in ("time_ms", "level", "host", "event")}
        print(f"  {second:8.3f} {host} {event['event']} " + " ".join(f"{key}={value}" for key, value in fields.items()))


if __name__ == "__main__":
    main()
