"""Runs the scenario of scripts/demo --platform: three hosts on stand-ins for the users'
platform, with callers that speak the line protocol; the primary stops answering, then a
host is stopped."""

import collections
import signal
import socket
import sys
import threading
import time

import lab

SECONDS = 12
CALLERS = 12
# Error codes that guarantee that the statement had no effect.
NO_EFFECT_CODES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "TOOMANY")


class Caller:
    """One session of the line protocol on one connection."""

    def __init__(self, address, route):
        ip, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((ip, int(port)), timeout=10)
        self.file = self.socket.makefile("rw", newline="\r\n")
        self.request("STARTUP", f"{route} demo")

    def request(self, command, arguments):
        self.file.write(f"{command} {arguments}\n")
        self.file.flush()
        answer = []
        while True:
            line = self.file.readline().rstrip("\r\n")
            if not line:
                raise ConnectionError("closed")
            if line.startswith("READY"):
                return answer
            answer.append(line)

    def run(self, statement_id, text):
        return self.request("QUERY", f"{statement_id} {text}")


class Load:
    """Callers that each write increasing numbers to their own item and read them back."""

    def __init__(self, addresses):
        self.addresses, self.end = addresses, time.monotonic() + SECONDS
        self.lock = threading.Lock()
        self.counts, self.violations, self.write_times = collections.Counter(), [], []
        self.threads = [threading.Thread(target=self.run_caller, args=(number,)) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run_caller(self, number):
        value, acknowledged, uncertain, caller, connection_number = 0, 0, 0, None, number
        while time.monotonic() < self.end:
            try:
                if caller is None:
                    connection_number += 1
                    caller = Caller(self.addresses[connection_number % len(self.addresses)], "read_your_writes")
                    acknowledged, uncertain = 0, value
                value += 1
                answer = caller.run(f"d{number}w{value}", f"WRITE item{number} {value}")
                if answer[-1].startswith("COMPLETE"):
                    acknowledged = value
                    self.count("writes done", time.monotonic())
                else:
                    code = answer[-1].split()[1]
                    self.count("refused" if code in NO_EFFECT_CODES else "unknown")
                    uncertain = value if code not in NO_EFFECT_CODES else uncertain
                answer = caller.run(f"d{number}r{value}", f"READ item{number}")
                if answer[-1].startswith("COMPLETE"):
                    self.count("reads done")
                    self.check(number, answer[0].split()[1], acknowledged)
                time.sleep(0.01)
            except OSError:
                self.count("reconnects")
                caller = None
                time.sleep(0.05)

    def count(self, outcome, written_at=None):
        with self.lock:
            self.counts[outcome] += 1
            if written_at is not None:
                self.write_times.append(written_at)

    def check(self, number, seen, acknowledged):
        seen = 0 if seen == "-" else int(seen)
        if seen < acknowledged:
            with self.lock:
                self.violations.append(f"caller {number} read {seen} after its write of {acknowledged} was acknowledged")

    def join(self):
        for thread in self.threads:
            thread.join()

    def longest_without_write(self):
        write_times = sorted(self.write_times)
        return max((after - before for before, after in zip(write_times, write_times[1:])), default=0.0)


def main():
    with lab.Lab(sys.argv[1]) as site:
        site.start_platform("--service")
        site.host_settings = {"interface": "platform", "ordersAddress": site.platform, "stopBoundMs": 5000,
                              "balancerNoticeMs": 300}
        for zone in "abc":
            site.start_host(f"host-{zone}", zone)
        lab.wait_for("a confirmed primary", lambda: site.primary_of("service"))
        print(f"primary: {site.primary_of('service')}", flush=True)
        load = Load([host.caller for host in site.hosts.values()])
        time.sleep(SECONDS * 0.3)
        victim = site.primary_of("service")
        print(f"isolating the primary {victim}", flush=True)
        lab.http("PUT", site.platform, "/admin/members", {"dark": victim})
        time.sleep(SECONDS * 0.4)
        print(f"primary now: {site.primary_of('service')}; stopping host-c", flush=True)
        site.processes["host-c"].signal(signal.SIGTERM)
        load.join()
        stopped = site.hosts["host-c"].process
        lab.wait_for("exit of host-c", lambda: not stopped.alive(), 60)
        print(f"statements: {dict(load.counts)}")
        print(f"longest time without a completed write {load.longest_without_write():.3f} s")
        print(f"stopped host exited with status {stopped.process.returncode}")
        print(f"consistency violations: {len(load.violations)}")
        for violation in load.violations[:10]:
            print("  " + violation)
        failed_over = load.counts["writes done"] > 0 and site.primary_of("service") != victim
        return 0 if failed_over and not load.violations and stopped.process.returncode == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
