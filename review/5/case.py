"""The primary is dark for less than a second. The order to promote another backend gets no answer and
is carried out 4 s later, when the primary has long been back and has acknowledged further commits."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import Site, has_trouble, run  # noqa: E402
from writers import Writers  # noqa: E402

WRITERS = 6
# "replicas 60 ms behind"
LAG_S = 0.06
# "carried out 2 to 12 s later"
LATE_S = 4.0
# Which of the two replicas is ahead when the order is carried out is chance, so it is tried again.
ROUNDS = 13
ROUND_S = 7.6
CALM_S = 2.0


def disturb(site):
    """The primary goes dark; the first order gets no answer, and at that moment the primary is back."""
    primary = site.group.leader
    site.platform.late_s, site.platform.late_calls = LATE_S, 1
    site.platform.on_late = lambda: site.group.set_dark(primary, False)
    site.group.set_dark(primary, True)


def main():
    with Site(FOLDER, sync=1, lags=(LAG_S,) * 3) as site:
        site.start_hosts()
        writers = Writers(site, WRITERS, ROUNDS * ROUND_S)
        for _ in range(ROUNDS if has_trouble() else 2):
            time.sleep(CALM_S)
            if has_trouble():
                disturb(site)
            time.sleep(ROUND_S - CALM_S)
            if writers.lost():
                break
        return writers.verdict()


run(main)
