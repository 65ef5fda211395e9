"""Whole deployments of the real programs under failure: checked load from real
drivers, one fault each, and no broken promise. Times of faults are not asserted;
the load tool's checker compares every answer with what was written.

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
# Generous: sanitized programs on a busy machine.
BOUND_S = 240
SANITIZER_REPORT = re.compile(r"(Sanitizer|runtime error):.*")
# A thread sanitizer's report of one race with both stacks has some 80 lines; the cause
# stands in the stacks, and a report that happened once can't be asked for again.
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
        self.assertEqual(result["violation_count"], 0, f"broken promises, look at the checker's stories: {result['violations']}")
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
        # Symptom: a family books, is balanced to another host, and sees no booking.
        # Sequence: write on one host; connect to another without a token; read at once.
        # Cause: a replica behind the write would answer, since nothing told the new
        # host what the session had seen.
        self.check(self.load(move_every=1, carry_token=0))

    def test_LosesNothingWhenThePrimaryIsKilled(self):
        # Symptom: an acknowledged booking is gone after a failover.
        # Sequence: the primary acknowledges, dies before its replicas have the entry,
        # and a replica without it is promoted.
        # Cause: acknowledging before a majority holds the commit.
        load = self.load()
        time.sleep(SECONDS / 3)
        victim = self.site.primary_of("booking1")
        self.site.processes[victim].signal(signal.SIGKILL)
        self.await_primary(other_than=victim)
        self.check(load)

    def test_AFrozenPrimaryThatWakesAcknowledgesNothing(self):
        # Symptom: two callers hold the same pitch, each with an acknowledged booking.
        # Sequence: the primary freezes, a successor is promoted, the old one wakes
        # up and still believes that it leads.
        # Cause: leadership by belief or by clock instead of by a majority's promise.
        load = self.load()
        time.sleep(SECONDS / 3)
        victim = self.site.primary_of("booking1")
        self.site.processes[victim].signal(signal.SIGSTOP)
        self.await_primary(other_than=victim)
        self.site.processes[victim].signal(signal.SIGCONT)
        self.check(load)

    def test_FailsOverWhileTheStoreIsOut(self):
        # Symptom: writes stop for as long as the platform's store is out.
        # Sequence: the store goes down, then the primary dies.
        # Cause: a promotion that needs the store's word.
        load = self.load()
        self.site.faults(down=True)
        time.sleep(SECONDS / 3)
        victim = self.site.primary_of("booking1")
        self.site.processes[victim].signal(signal.SIGKILL)
        self.await_primary(other_than=victim)
        self.check(load)

    def test_LosesNothingWhenAHostIsKilled(self):
        # Symptom: a charge runs twice when the host that carried it dies.
        # Sequence: a host dies with requests and transactions in progress; callers
        # go on elsewhere.
        # Cause: somebody sends again what had already left.
        load = self.load()
        time.sleep(SECONDS / 3)
        self.site.processes["host-a"].signal(signal.SIGKILL)
        self.check(load)

    def test_ADrainedHostCutsNoRequest(self):
        # Symptom: a planned replacement of hosts shows up as failed bookings.
        # Sequence: SIGTERM under load, with transactions open.
        # Cause: closing connections before their requests are answered.
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
        # Symptom: maintenance of the primary shows up as refused bookings.
        # Sequence: an operator moves the primary under load.
        # Cause: promoting before writes are held back and the successor has them all.
        load = self.load()
        time.sleep(SECONDS / 3)
        before = self.site.primary_of("booking1")
        done = self.site.ctl("switchover", "booking1")
        self.assertEqual(done.returncode, 0, f"the switchover was refused: {done.stdout}{done.stderr}")
        self.await_primary(other_than=before)
        result = self.check(load)
        self.assertEqual(result["writes_not_done"], 0, f"a planned change fails no write, but: {result['refusals']}")

    def test_AChangedSettingsFileIsTakenOverAndABadOneRefused(self):
        # Symptom: a host ends when its settings file changes, or runs on with half of a bad one.
        # Sequence: the file is changed and SIGHUP sent; then it is damaged and SIGHUP sent.
        # Cause: nobody took the signal, or what was read was not checked as a whole.
        host = next(iter(self.site.hosts.values()))
        path = os.path.join(self.site.folder, host.process.name + ".json")
        with open(path) as file:
            settings = json.load(file)
        with open(path, "w") as file:
            json.dump({**settings, "logLevel": "debug"}, file)
        host.process.signal(signal.SIGHUP)
        lab.wait_for("settings reloaded", lambda: host.process.find(host.process.out_path, r'"event":"settings_reloaded","applied":1'))
        with open(path, "w") as file:
            json.dump({**settings, "logLevel": "loud", "trafficThreads": 0}, file)
        host.process.signal(signal.SIGHUP)
        for fault in ("logLevel", "trafficThreads"):
            lab.wait_for(f"{fault} refused", lambda: host.process.find(host.process.out_path, f'"settings_refused".*{fault}'))
        self.assertTrue(host.ready(), "a host that refused a bad file no longer serves")

    def test_StatusSeesEachAcceptedFileOnEveryHost(self):
        # Symptom: status says that hosts differ, long after the file is in force on all.
        # Sequence: one file is applied, hosts settle, another one is applied.
        # Cause: status shows a view of hosts that is renewed only when hosts come or go.
        # For a while, since hosts that have just met renew their views all the time.
        end = time.monotonic() + SECONDS
        priority = 0
        while time.monotonic() < end:
            priority += 1
            configuration = lab.configuration([self.database])
            configuration["classes"] = [dict(lab.CLASSES[0], priority=priority), lab.CLASSES[1]]
            self.site.apply(configuration)
            for host in self.site.hosts.values():
                done = self.site.ctl("--operator", host.operators, "status", "--wait", "30")
                self.assertEqual(done.returncode, 0, f"{host.name} does not see the file everywhere: {done.stdout}{done.stderr}")

    def test_AnyHostTakesAPlannedChangeOfPrimary(self):
        # Symptom: switchover without a successor is refused, though any host may be asked.
        # Sequence: asked at a host that is not the home of the primary.
        # Cause: the question is handed on with no successor, and the home takes none for a name.
        # A host that knows no other one takes itself for everybody's home.
        lab.wait_for("hosts to know each other", self.hosts_acquainted, BOUND_S)
        for _ in range(3):
            before = lab.wait_for("one primary in all eyes", self.agreed_primary, BOUND_S)
            zone = next(each["zone"] for each in self.database["upstreams"] if each["name"] == before)
            host = next(host for host in self.site.hosts.values() if host.zone != zone)
            done = self.site.ctl("--operator", host.operators, "switchover", "booking1")
            self.assertEqual(done.returncode, 0, f"refused at {host.name}: {done.stdout}{done.stderr}")
            self.await_primary(other_than=before)

    def hosts_acquainted(self):
        for host in self.site.hosts.values():
            listed = json.loads(lab.http("GET", host.operators, "/status")[1])["hosts"]
            if [each["state"] for each in listed] != ["live"] * len(self.site.hosts):
                return False
        return True

    def agreed_primary(self):
        """The primary that all hosts report as confirmed, at one term and with all members in reach; or None."""
        seen = set()
        for host in self.site.hosts.values():
            for group in json.loads(lab.http("GET", host.operators, "/status")[1])["groups"]:
                well = group["confirmed"] and all(member["reachable"] for member in group["members"])
                seen.add((group["term"], group["primary"]) if well else None)
        return seen.pop()[1] if len(seen) == 1 and None not in seen else None


if __name__ == "__main__":
    unittest.main()
