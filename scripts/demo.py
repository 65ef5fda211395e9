"""The story of scripts/demo: three hosts, one database in three zones, a killed
primary, a drained host, sessions that move all the time."""

import signal
import sys
import time

import lab

SECONDS = 12


def say(text):
    print(text, flush=True)


def main():
    with lab.Lab(sys.argv[1]) as site:
        site.start_platform()
        database = site.start_group("booking1", ["a", "b", "c"], 5, 30, ["--connection-delay-ms", "10", "--lag-ms", "20"])
        for zone in "abc":
            site.start_host(f"host-{zone}", zone)
        site.announce_hosts()
        say("applied: " + site.apply(lab.configuration([database])).strip())
        lab.wait_for("a confirmed primary", lambda: site.primary_of("booking1"))
        say(f"primary: {site.primary_of('booking1')}")

        load = site.bench(database="booking1", seconds=SECONDS, desks=4, parents=8, desk_rate=20, parent_rate=20, move_every=5)
        time.sleep(SECONDS * 0.25)
        victim = site.primary_of("booking1")
        say(f"killing the primary {victim}")
        site.processes[victim].signal(signal.SIGKILL)
        time.sleep(SECONDS * 0.35)
        say(f"primary now: {site.primary_of('booking1')}")
        say("draining host-c")
        reads = site.reads()
        site.processes["host-c"].signal(signal.SIGTERM)
        result = site.result(load, SECONDS + 60)

        drained = site.hosts["host-c"].process
        lab.wait_for("host-c gone", lambda: not drained.alive(), 60)
        status = site.ctl("status")
        say(status.stdout.strip() + status.stderr.strip())
        say(f"requests: {result['attempts']} sent, {result['done']} done; writes done {result['writes_done']}, not done {result['writes_not_done']}")
        say(f"reads served by replicas: {100 * lab.replica_share(reads):.1f} % {dict(sorted((' '.join(k).strip(), v) for k, v in reads.items()))}")
        say(f"failover gap: longest time without a write {result['longest_s_without_write']:.3f} s")
        say(f"refusals: {result['refusals']}")
        say(f"drained host ended with exit status {drained.process.returncode}")
        say(f"invariant violations: {result['violation_count']}")
        for violation in result["violations"]:
            say("  " + violation)
        return 0 if result["violation_count"] == 0 and drained.process.returncode == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
