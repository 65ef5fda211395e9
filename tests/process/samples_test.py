"""Runs the samples, as their comments describe, against a deployment of the real programs.

  EGRETTIDE_BIN=build/dev python3 tests/process/samples_test.py [Samples.Case]
"""

import os
import signal
import subprocess
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))
import lab  # noqa: E402

BINARIES = os.environ.get("EGRETTIDE_BIN", "build/dev")
SOURCE = os.path.join(os.path.dirname(__file__), "..", "..")
# Allows for sanitized programs on a busy machine.
BOUND_S = 240


class Samples(unittest.TestCase):
    def setUp(self):
        self.site = lab.Lab(BINARIES)
        self.addCleanup(self.site.__exit__)
        self.site.start_platform()
        database = self.site.start_group("booking1", ["a", "b", "c"], 5, 30, ["--lag-ms", "10"])
        for zone in "abc":
            self.site.start_host(f"host-{zone}", zone)
        self.site.announce_hosts()
        self.site.apply(lab.configuration([database]))
        lab.wait_for("a confirmed primary", lambda: self.site.primary_of("booking1"), BOUND_S)

    def conninfo(self, host, tenant="desk"):
        address, port = self.site.hosts[host].caller.rsplit(":", 1)
        return f"host={address} port={port} dbname=booking1 user={tenant}"

    def sample(self, name, *arguments):
        done = subprocess.run([self.site.program_path("sample_" + name), *arguments], capture_output=True, text=True,
                              timeout=BOUND_S)
        self.assertEqual(done.returncode, 0, f"sample_{name} failed; look at its words: {done.stdout}{done.stderr}")
        return done.stdout

    def test_ABookingIsChargedOnceHoweverOftenItIsSent(self):
        # A caller that did not receive the answer to a booking sends it again through another
        # host. If the second attempt has another idempotency key, or none, a family is charged
        # twice for one session.
        for host in ("host-a", "host-b"):
            output = self.sample("booking", self.conninfo(host), "4711")
            self.assertIn("charges for 4711: 1\n", output)

    def test_ABookingGoesThroughAFailoverAndIsChargedOnce(self):
        # The primary crashes, and the sample books while there is no primary. The booking is
        # abandoned if "not run" is treated as final, or charged twice if an unknown outcome is
        # treated as "not run".
        self.sample("booking", self.conninfo("host-a"), "1")
        self.site.processes[self.site.primary_of("booking1")].signal(signal.SIGKILL)
        output = self.sample("booking", self.conninfo("host-a"), "2")
        self.assertIn("charges for 2: 1\n", output)

    def test_AMovedSessionReadsItsWrites(self):
        # A session writes on one host and reads at once on another. If the second host does not
        # have the session's floor, a replica behind the write answers, and the caller does not
        # see its own booking.
        for number in range(20):
            output = self.sample("movesession", self.conninfo("host-a"), self.conninfo("host-b"), str(number))
            self.assertNotIn("MISSING", output)

    def test_ALatestReadSeesAnotherSessionsWrite(self):
        # One session writes, and another reads on a replica. If a read that requests the latest
        # state is served without proof of freshness, it misses a booking made moments ago.
        for number in range(20):
            self.assertIn("latest: seen\n", self.sample("freshread", self.conninfo("host-c", "parent"), str(number)))

    def test_TheSampleFilesAreValid(self):
        for name in ("lakeshore.json", "legoff.json"):
            done = self.site.ctl("validate", os.path.join(SOURCE, "samples", name))
            self.assertEqual(done.returncode, 0, f"{name} is refused: {done.stdout}{done.stderr}")
        settings = subprocess.run([self.site.program_path("egrettided"), "--check", "--settings",
                                   os.path.join(SOURCE, "samples", "settings.json")], capture_output=True, text=True)
        self.assertEqual(settings.returncode, 0, f"settings.json is refused: {settings.stderr}")


if __name__ == "__main__":
    unittest.main()
