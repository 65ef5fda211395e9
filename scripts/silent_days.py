#!/usr/bin/env python3
"""Generates a day file for the users' bench: connections go silent while the configuration changes.

  scripts/silent_days.py SEED FILE [--mixed]

Every 6.5 to 8 s the open connections of some or all hosts stop carrying data without a reset,
while new connections work, and routes change four times around that moment. With --mixed, one
more disruption of another kind starts within four seconds after each of these moments.
"""
import argparse
import random

# Shares of hosts whose connections go silent at one time.
HOST_SHARES = [0.35, 0.5, 0.6, 0.75, 0.9, 1.0]
# Route changes around each time connections go silent.
ROUTE_CHANGES = 4
DAY_TEMPLATE = """[[day]]
name = "silent-%(seed)d"
seed = %(seed)d
slot = "trouble"
length_s = 41.0
one = 0.9
zero = 0.3
goal = { floor = 0.3 }
floor_classes = [0.3]
floor_zones = [0.3]
labels = []
wall = 4.2
light = true
plan = [
%(plan)s
]
faults = [
%(faults)s
]
"""


def random_disruption(at, rng):
    """Returns the line of a random additional disruption, `at` seconds into the day."""
    kind = rng.choice([
        'kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "reader"',
        'kind = "node_freeze", on = "core", count = 1, for_s = 3.0, how = "reader"',
        'kind = "node_freeze", on = "core", count = 1, for_s = 5.0, how = "follower meet"',
        'kind = "core_cut", count = 1, for_s = 3.0, how = "reader one_way"',
        'kind = "node_cut", share = 0.3, for_s = 3.0, how = "all meet"',
        'kind = "node_slow", share = 0.3, x = 5.0, for_s = 4.0',
        'kind = "platform_compact", x = 4.0, for_s = 5.0',
        'kind = "platform_down", share = 0.5, for_s = 4.0, how = "nodes silent meet"',
        'kind = "platform_slow", x = 60.0, for_s = 3.0',
        'kind = "platform_lost", x = 0.4, for_s = 3.0, how = "late"',
        'kind = "zone_cut", for_s = 3.0, how = "meet"',
        'kind = "clock_step", share = 0.5, x = 4000.0, for_s = 3.0, how = "back"',
        'kind = "reset_conns", share = 1.0, x = 1.0, how = "silent"',
        'kind = "replace_core", x = 1.0, how = "planned"',
    ])
    return "  { at = %.2f, %s }," % (at, kind)


def generate_day(seed, mixed):
    """Returns the text of the day file; the same arguments give the same day."""
    rng = random.Random(seed)
    plan, faults = [], []
    at = rng.uniform(4.5, 6)
    while at < 33:
        faults.append('  { at = %.2f, kind = "reset_conns", share = %.2f, x = 1.0, how = "silent" },'
                      % (at, rng.choice(HOST_SHARES)))
        change_at = at - rng.uniform(-0.05, 0.3)
        for _ in range(ROUTE_CHANGES):
            plan.append('  { at = %.2f, kind = "config_change", how = "route" },' % change_at)
            change_at += rng.uniform(0.25, 0.7)
        if mixed:
            faults.append(random_disruption(at + rng.uniform(0.1, 4), rng))
        at += rng.uniform(6.5, 8)
    return DAY_TEMPLATE % {"seed": seed, "plan": "\n".join(plan), "faults": "\n".join(faults)}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("seed", type=int)
    parser.add_argument("file")
    parser.add_argument("--mixed", action="store_true",
                        help="add one more disruption after each time connections go silent")
    args = parser.parse_args()
    with open(args.file, "w", encoding="utf-8") as out:
        out.write(generate_day(args.seed, args.mixed))


if __name__ == "__main__":
    main()
