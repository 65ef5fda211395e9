"""Runs the scenario of scripts/demo: three hosts and one database in three zones under
load from sessions that move between hosts; the primary is killed, then a host is drained."""

import signal
import sys
import time

import lab

LOAD_SECONDS = 12


def print_line(text):
    print(text, flush=True)


def main():
    with lab.Lab(sys.argv[1]) as site:
        site.start_platform()
        database = site.start_group("booking1", ["a", "b", "c"], 5, 30, ["--connection-delay-ms", "10", "--lag-ms", "20"])
        for zone in "abc":
            site.start_host(f"host-{zone}", zone)
        site.announce_hosts()
        print_line("configuration applied: " + site.apply(lab.configuration([database])).strip())
        lab.wait_for("a confirmed primary", lambda: site.primary_of("booking1"))
        print_line(f"primary: {site.primary_of('booking1')}")

        load = site.bench(database="booking1", seconds=LOAD_SECONDS, desks=4, parents=8, desk_rate=20,
                          parent_rate=20, move_every=5)
        time.sleep(LOAD_SECONDS * 0.25)
        victim = site.primary_of("booking1")
        print_line(f"killing the primary {victim}")
        site.processes[victim].signal(signal.SIGKILL)
        time.sleep(LOAD_SECONDS * 0.35)
        print_line(f"primary now: {site.primary_of('booking1')}")
        print_line("draining host-c")
        reads = site.read_counts()
        site.processes["host-c"].signal(signal.SIGTERM)
        result = site.result(load, LOAD_SECONDS + 60)

        drained = site.hosts["host-c"].process
        lab.wait_for("exit of host-c", lambda: not drained.alive(), 60)
        status = site.ctl("status")
        print_line(status.stdout.strip() + status.stderr.strip())
        print_line(f"requests: {result['attempts']} sent, {result['done']} done; "
                   f"writes done {result['writes_done']}, not done {result['writes_not_done']}")
        print_line(f"reads served by replicas: {100 * lab.replica_share(reads):.1f} % "
                   f"{dict(sorted((' '.join(k).strip(), v) for k, v in reads.items()))}")
        print_line(f"failover gap: longest time without a completed write {result['longest_s_without_write']:.3f} s")
        print_line(f"refusals: {result['refusals']}")
        print_line(f"drained host exited with status {drained.process.returncode}")
        print_line(f"invariant violations: {result['violation_count']}")
        for violation in result["violations"]:
            print_line("  " + violation)
        return 0 if result["violation_count"] == 0 and drained.process.returncode == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
