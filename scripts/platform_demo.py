"""The story of scripts/demo --platform: three hosts on the platform's stand-ins, callers
in the line protocol, a primary that goes dark, a host that is stopped."""

import collections
import signal
import socket
import sys
import threading
import time

import lab

SECONDS = 12
CALLERS = 12
# Codes that promise that nothing of the statement is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "TOOMANY")


class Caller:
    """One session; connects again after a close."""

    def __init__(self, address, route):
        ip, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((ip, int(port)), timeout=10)
        self.file = self.socket.makefile("rw", newline="\r\n")
        self.lines("STARTUP", f"{route} demo")

    def lines(self, word, rest):
        self.file.write(f"{word} {rest}\n")
        self.file.flush()
        answer = []
        while True:
            line = self.file.readline().rstrip("\r\n")
            if not line:
                raise ConnectionError("closed")
            if line.startswith("READY"):
                return answer
            answer.append(line)

    def run(self, ident, text):
        return self.lines("QUERY", f"{ident} {text}")


class Load:
    """Callers that write a rising number each and read it back."""

    def __init__(self, addresses):
        self.addresses, self.ends = addresses, time.monotonic() + SECONDS
        self.lock = threading.Lock()
        self.counts, self.violations, self.written = collections.Counter(), [], []
        self.threads = [threading.Thread(target=self.call, args=(number,)) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def call(self, number):
        value, acknowledged, uncertain, caller, turn = 0, 0, 0, None, number
        while time.monotonic() < self.ends:
            try:
                if caller is None:
                    turn += 1
                    caller = Caller(self.addresses[turn % len(self.addresses)], "read_your_writes")
                    acknowledged, uncertain = 0, value
                value += 1
                answer = caller.run(f"d{number}w{value}", f"WRITE item{number} {value}")
                if answer[-1].startswith("COMPLETE"):
                    acknowledged = value
                    self.note("writes done", time.monotonic())
                else:
                    code = answer[-1].split()[1]
                    self.note("refused" if code in PROMISES else "unknown")
                    uncertain = value if code not in PROMISES else uncertain
                answer = caller.run(f"d{number}r{value}", f"READ item{number}")
                if answer[-1].startswith("COMPLETE"):
                    self.note("reads done")
                    self.check(number, answer[0].split()[1], acknowledged)
                time.sleep(0.01)
            except OSError:
                self.note("reconnects")
                caller = None
                time.sleep(0.05)

    def note(self, what, at=None):
        with self.lock:
            self.counts[what] += 1
            if at is not None:
                self.written.append(at)

    def check(self, number, seen, acknowledged):
        seen = 0 if seen == "-" else int(seen)
        if seen < acknowledged:
            with self.lock:
                self.violations.append(f"caller {number} read {seen} after its write of {acknowledged} was acknowledged")

    def join(self):
        for thread in self.threads:
            thread.join()

    def longest_without_write(self):
        written = sorted(self.written)
        return max((after - before for before, after in zip(written, written[1:])), default=0.0)


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
        print(f"the primary {victim} goes dark", flush=True)
        lab.http("PUT", site.platform, "/admin/members", {"dark": victim})
        time.sleep(SECONDS * 0.4)
        print(f"primary now: {site.primary_of('service')}; stopping host-c", flush=True)
        site.processes["host-c"].signal(signal.SIGTERM)
        load.join()
        stopped = site.hosts["host-c"].process
        lab.wait_for("host-c gone", lambda: not stopped.alive(), 60)
        print(f"statements: {dict(load.counts)}")
        print(f"longest time without a write {load.longest_without_write():.3f} s")
        print(f"stopped host ended with exit status {stopped.process.returncode}")
        print(f"broken promises: {len(load.violations)}")
        for violation in load.violations[:10]:
            print("  " + violation)
        served = load.counts["writes done"] > 0 and site.primary_of("service") != victim
        return 0 if served and not load.violations and stopped.process.returncode == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
