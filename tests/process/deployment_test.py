"""Runs whole deployments of the real programs under checked load from real drivers,
with one fault per test, and verifies every guarantee. The durations of faults are not
asserted; the load tool's checker compares every answer with what was written.

  EGRETTIDE_BIN=build/dev python3 tests/process/deployment_test.py [Deployment.Case]
"""

import json
import os
import re
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))
import lab  # noqa: E402

BINARIES = os.environ.get("EGRETTIDE_BIN", "build/dev")
SECONDS = 6
# Allows for sanitized programs on a busy machine.
BOUND_S = 240
SANITIZER_REPORT = re.compile(r"(Sanitizer|runtime error):.*")
# A thread sanitizer's report of one race with both stacks has about 80 lines. The stacks
# show the cause, and a report of a rare race may not be reproducible.
REPORT_LINES = 200


class Deployment(unittest.TestCase):
    def setUp(self):
        self.site = lab.Lab(BINARIES)
        self.addCleanup(self.site.__exit__)
        self.site.start_platform()
        self.database = self.site.start_group("booking1", ["a", "b", "c"], 5, 30, ["--lag-ms", "10"])
        for zone in "abc":
            self.site.start_host(f"host-{zone}", zone)
        self.site.announce_hosts()
        self.site.apply(lab.configuration([self.database]))
        self.await_primary()

    def await_primary(self, other_than=""):
        def changed():
            primary = self.site.primary_of("booking1")
            return primary if primary and primary != other_than else None
        return lab.wait_for("a confirmed primary", changed, BOUND_S)

    def load(self, **options):
        settings = {"database": "booking1", "seconds": SECONDS, "desks": 2, "parents": 4, "desk_rate": 10, "parent_rate": 10,
                    "move_every": 7, "timeout_ms": 8000}
        settings.update(options)
        return self.site.bench(**settings)

    def check(self, load):
        result = self.site.result(load, BOUND_S)
        self.assertEqual(result["violation_count"], 0, f"consistency violations found by the checker: {result['violations']}")
        self.assertGreater(result["writes_done"], 0, f"no write was done at all, look at the refusals: {result['refusals']}")
        self.check_sanitizers()
        return result

    def check_sanitizers(self):
        for process in self.site.processes.values():
            with open(process.err_path, errors="replace") as file:
                text = file.read()
            report = SANITIZER_REPORT.search(text)
            whole = report and "\n".join(text[report.start():].splitlines()[:REPORT_LINES])
            self.assertIsNone(report, f"{process.name} was reported by a sanitizer: {whole}")

    def test_LosesNothingWithoutAnyFault(self):
        result = self.check(self.load())
        self.assertEqual(result["writes_not_done"], 0, f"a steady run refuses no write, but: {result['refusals']}")

    def test_SessionsThatMoveWithoutATokenReadTheirWrites(self):
        # A session writes on one host, connects to another without a token and reads at
        # once. If the new host does not have the session's floor, a replica behind the
        # write answers, and the caller does not see its own booking.
        self.check(self.load(move_every=1, carry_token=0))

    def test_LosesNothingWhenThePrimaryIsKilled(self):
        # If a commit is acknowledged before a majority holds it, an acknowledged booking is
        # lost in a failover: the primary crashes before its replicas have the entry, and a
        # replica without it is promoted.
        load = self.load()
        time.sleep(SECONDS / 3)
        victim = self.site.primary_of("booking1")
        self.site.processes[victim].signal(signal.SIGKILL)
        self.await_primary(other_than=victim)
        self.check(load)

    def test_AFrozenPrimaryThatWakesAcknowledgesNothing(self):
        # The primary is suspended, a successor is promoted, and the old primary resumes and
        # still acts as primary. If leadership rests on local state or a clock instead of the
        # promises of a majority, two callers book the same pitch, both acknowledged.
        load = self.load()
        time.sleep(SECONDS / 3)
        victim = self.site.primary_of("booking1")
        self.site.processes[victim].signal(signal.SIGSTOP)
        self.await_primary(other_than=victim)
        self.site.processes[victim].signal(signal.SIGCONT)
        self.check(load)

    def test_FailsOverWhileTheStoreIsOut(self):
        # The store goes down, then the primary crashes. If a promotion needs the store, writes
        # stop until the platform's store is available again.
        load = self.load()
        self.site.set_platform_faults(down=True)
        time.sleep(SECONDS / 3)
        victim = self.site.primary_of("booking1")
        self.site.processes[victim].signal(signal.SIGKILL)
        self.await_primary(other_than=victim)
        self.check(load)

    def test_LosesNothingWhenAHostIsKilled(self):
        # A host crashes with requests and transactions in progress, and callers continue on
        # other hosts. If a component resends a request that was already sent, a charge runs
        # twice.
        load = self.load()
        time.sleep(SECONDS / 3)
        self.site.processes["host-a"].signal(signal.SIGKILL)
        self.check(load)

    def test_ADrainedHostCutsNoRequest(self):
        # If a host that receives SIGTERM under load, with transactions open, closes connections
        # before their requests are answered, a planned replacement of hosts fails bookings.
        load = self.load()
        time.sleep(SECONDS / 3)
        drained = self.site.processes["host-b"]
        drained.signal(signal.SIGTERM)
        lab.wait_for("the drained host's end", lambda: not drained.alive(), BOUND_S)
        result = self.check(load)
        self.assertEqual(drained.process.returncode, 0, "a drained host ends with status 0; look at its log")
        unknown = {text: count for text, count in result["refusals"].items() if "unknown" in text}
        self.assertEqual(unknown, {}, "a planned stop leaves no outcome unknown")

    def test_APlannedChangeOfPrimaryFailsNoWrite(self):
        # An operator moves the primary under load. If the successor is promoted before writes
        # are held back and the successor has all of them, bookings are refused.
        load = self.load()
        time.sleep(SECONDS / 3)
        before = self.site.primary_of("booking1")
        done = self.site.ctl("switchover", "booking1")
        self.assertEqual(done.returncode, 0, f"the switchover was refused: {done.stdout}{done.stderr}")
        self.await_primary(other_than=before)
        result = self.check(load)
        self.assertEqual(result["writes_not_done"], 0, f"a planned change fails no write, but: {result['refusals']}")

    def test_AChangedSettingsFileIsTakenOverAndABadOneRefused(self):
        # The file is changed and SIGHUP sent; then it is made invalid and SIGHUP sent. Without a
        # handler the signal ends the host; without validation of the whole file, the host
        # continues with parts of an invalid one.
        host = next(iter(self.site.hosts.values()))
        path = os.path.join(self.site.folder, host.process.name + ".json")
        with open(path) as file:
            settings = json.load(file)
        with open(path, "w") as file:
            json.dump({**settings, "logLevel": "debug"}, file)
        host.process.signal(signal.SIGHUP)
        lab.wait_for("settings reloaded", lambda: host.process.search(host.process.out_path,
                                                                      r'"event":"settings_reloaded","applied":1'))
        with open(path, "w") as file:
            json.dump({**settings, "logLevel": "loud", "trafficThreads": 0}, file)
        host.process.signal(signal.SIGHUP)
        for fault in ("logLevel", "trafficThreads"):
            lab.wait_for(f"{fault} refused", lambda: host.process.search(host.process.out_path, f'"settings_refused".*{fault}'))
        self.assertTrue(host.ready(), "a host that refused a bad file no longer serves")

    def test_StatusSeesEachAcceptedFileOnEveryHost(self):
        # One file is applied, the membership becomes stable, and another file is applied. If
        # status shows a membership view that is renewed only when hosts join or leave, it
        # reports differing hosts long after the file is in force on all. The test repeats this
        # for SECONDS, because hosts that have just joined renew their views all the time.
        end = time.monotonic() + SECONDS
        priority = 0
        while time.monotonic() < end:
            priority += 1
            configuration = lab.configuration([self.database])
            configuration["classes"] = [dict(lab.CLASSES[0], priority=priority), lab.CLASSES[1]]
            self.site.apply(configuration)
            for host in self.site.hosts.values():
                done = self.site.ctl("--operator", host.operator_address, "status", "--wait", "30")
                self.assertEqual(done.returncode, 0, f"{host.name} does not see the file everywhere: {done.stdout}{done.stderr}")

    def test_AnyHostTakesAPlannedChangeOfPrimary(self):
        # A switchover without a successor is sent to a host that is not the home of the primary.
        # If the host forwards it with an empty successor and the home treats that as a name, the
        # switchover is refused, though any host should accept it.
        # A host that has discovered no other host assumes that it is the home of all upstreams.
        lab.wait_for("hosts to know each other", self.hosts_acquainted, BOUND_S)
        for _ in range(3):
            before = lab.wait_for("one primary in all eyes", self.agreed_primary, BOUND_S)
            zone = next(each["zone"] for each in self.database["upstreams"] if each["name"] == before)
            host = next(host for host in self.site.hosts.values() if host.zone != zone)
            done = self.site.ctl("--operator", host.operator_address, "switchover", "booking1")
            self.assertEqual(done.returncode, 0, f"refused at {host.name}: {done.stdout}{done.stderr}")
            self.await_primary(other_than=before)

    def hosts_acquainted(self):
        for host in self.site.hosts.values():
            listed = json.loads(lab.http("GET", host.operator_address, "/status")[1])["hosts"]
            if [each["state"] for each in listed] != ["live"] * len(self.site.hosts):
                return False
        return True

    def agreed_primary(self):
        """Returns the primary that all hosts report as confirmed, at one term and with all members reachable, or None."""
        seen = set()
        for host in self.site.hosts.values():
            for group in json.loads(lab.http("GET", host.operator_address, "/status")[1])["groups"]:
                well = group["confirmed"] and all(member["reachable"] for member in group["members"])
                seen.add((group["term"], group["primary"]) if well else None)
        return seen.pop()[1] if len(seen) == 1 and None not in seen else None


if __name__ == "__main__":
    unittest.main()
