"""Runs real hosts on the platform's stand-in while another writer's odd object stands in its store:
hosts that live, one that starts beside them, and all started again at once.

  EGRETTIDE_BIN=build/dev python3 tests/process/oddobjects_test.py [Oddobjects.Case]
"""

import os
import signal
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts"))
import lab  # noqa: E402

BINARIES = os.environ.get("EGRETTIDE_BIN", "build/dev")
# Allows for sanitized programs on a busy machine.
BOUND_S = 240
# Overflows a stack of 8 MiB in a serializer that calls itself once a level.
DEPTH = 200_000
KINDS = ["servers", "config", "egrettide-hosts", "egrettide-groups"]


class Oddobjects(unittest.TestCase):
    def setUp(self):
        self.site = lab.Lab(BINARIES)
        self.addCleanup(self.site.__exit__)
        self.site.start_platform("--service")
        self.site.host_settings = {"interface": "platform", "ordersAddress": self.site.platform, "stopBoundMs": 5000}
        for zone in "abc":
            self.site.start_host(f"host-{zone}", zone)
        self.await_service()

    def await_service(self):
        lab.wait_for("all hosts ready", lambda: all(host.ready() for host in self.site.hosts.values()), BOUND_S)
        lab.wait_for("a confirmed primary", lambda: self.site.primary_of("service"), BOUND_S)

    def put(self, kind, name, text):
        status, answer = lab.http("PUT", self.site.platform, "/admin/objects", {"kind": kind, "name": name, "text": text})
        self.assertEqual(status, 200, answer)

    def check_hosts_live(self):
        for host in self.site.hosts.values():
            output = open(host.process.out_path).read()
            self.assertTrue(host.process.alive(), f"{host.name} has ended: {output[-1000:]}")
            self.assertNotIn("process_crashed", output)

    # All hosts follow the configuration that is written after the odd objects.
    def check_hosts_follow(self, version):
        route = {"name": "r", "host": "primary", "type": "primary", "timeoutMs": 3000, "priority": 1, "service": "service"}
        service = {"name": "service", "maxConnections": 33, "syncReplicas": 0}
        self.put("config", "main", lab.json.dumps({"version": version, "routes": [route], "services": [service]}))
        wanted = f"egrettide_configuration_version {version}"
        lab.wait_for(f"version {version} at all hosts",
                     lambda: all(wanted in host.metrics() for host in self.site.hosts.values()), BOUND_S)
        self.check_hosts_live()

    def check_odd_object(self, text):
        for kind in KINDS:
            self.put(kind, "odd", text)
        self.check_hosts_follow(10)
        self.site.start_host("host-d", "a")
        self.await_service()
        self.check_hosts_follow(11)
        self.assertIn("store_object_refused", open(self.site.hosts["host-a"].process.out_path).read())
        hosts = [(host.name, host.zone) for host in self.site.hosts.values()]
        for name, _ in hosts:
            self.site.processes[name].signal(signal.SIGKILL)
        self.site.hosts.clear()
        for name, zone in hosts:
            self.site.start_host(name + "-again", zone)
        self.await_service()
        self.check_hosts_follow(12)

    def test_DeepArraysEndNoHost(self):
        # One deeply nested object overflows the stack of each host that reads it.
        self.check_odd_object('{"service":"service","note":' + "[" * DEPTH + "]" * DEPTH + "}")

    def test_DeepObjectsEndNoHost(self):
        # The same with objects, which the JSON library serializes by another function.
        self.check_odd_object('{"service":"service","note":' + '{"a":' * DEPTH + "1" + "}" * DEPTH + "}")

    def test_NumbersOutOfRangeHideNoOtherObject(self):
        # One number that a double cannot hold makes the whole list unreadable.
        self.check_odd_object('{"service":"service","slots":1e999}')

    def test_LoneSurrogatesHideNoOtherObject(self):
        # One escape that is half a character makes the whole list unreadable.
        self.check_odd_object('{"service":"service","note":"\\ud800"}')


if __name__ == "__main__":
    unittest.main()
