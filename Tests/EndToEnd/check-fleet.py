#!/usr/bin/env python3
"""Watches the rows of the platform stand-in from outside and reports broken invariants.

Usage: check-fleet.py PLATFORM_URL STOP_FILE

Polls GET /control/state until STOP_FILE exists, then prints key=value lines. Exit status 1 when an
invariant was broken. It shares no code with peridotrun: it reads the rows as JSON and nothing else.

Invariants:
  budget   a host gets a permit only while permits and unavailable hosts of its pool stay within the
           budget, permits never count more hosts than the budget, and no host is out of service on
           purpose without a permit
  pool     a host has exactly one pool, and no other pool's ledger names it
  epoch    the fencing epoch of a lease and of a pool ledger never goes down
  version  the configuration version never goes down
"""

import json
import os
import sys
import time
import urllib.request

POLL_SECONDS = 0.05
OUT_OF_SERVICE = {"draining", "drained", "rebooting", "returning"}


class Checker:
    def __init__(self):
        self.violations = []
        self.permits = {}
        self.epochs = {}
        self.version = 0
        self.snapshots = 0
        self.largest_use = {}
        self.maintained = set()

    def fail(self, invariant, detail):
        line = f"violation={invariant} snapshot={self.snapshots} {detail}"
        if line not in self.violations:
            self.violations.append(line)
            print(line, flush=True)

    def check(self, rows):
        self.snapshots += 1
        hosts = {key[5:]: value for key, value in rows.items() if key.startswith("host/")}
        pools = {key[5:]: value for key, value in rows.items() if key.startswith("pool/")}
        for name, pool in pools.items():
            self.check_budget(name, pool, hosts)
        self.check_pools(hosts, pools)
        self.check_monotonic(rows)
        self.maintained |= {name for name, host in hosts.items() if host["generation"] > 0}

    def check_budget(self, name, pool, hosts):
        permits = set(pool["permits"])
        used = permits | set(pool["unavailable"])
        new = permits - self.permits.get(name, set())
        if new and len(used) > pool["budget"]:
            self.fail("budget", f"pool={name} used={len(used)} budget={pool['budget']} new={sorted(new)}")
        if len(permits) > pool["budget"]:
            self.fail("budget", f"pool={name} permits={len(permits)} budget={pool['budget']}")
        for host, row in hosts.items():
            if row["pool"] == name and row["state"] in OUT_OF_SERVICE and host not in used:
                self.fail("budget", f"pool={name} host={host} state={row['state']} permit=none")
        self.permits[name] = permits
        self.largest_use[name] = max(self.largest_use.get(name, 0), len(used))

    def check_pools(self, hosts, pools):
        for name, pool in pools.items():
            for host in set(pool["permits"]) | set(pool["unavailable"]):
                if host in hosts and hosts[host]["pool"] != name:
                    self.fail("pool", f"host={host} pool={hosts[host]['pool']} named_by={name}")
        for host, row in hosts.items():
            if not row.get("pool"):
                self.fail("pool", f"host={host} pool=none")

    def check_monotonic(self, rows):
        for key, value in rows.items():
            if not key.startswith(("lease/", "pool/")):
                continue
            epoch = value.get("fencing_epoch", value.get("epoch", 0))
            if epoch < self.epochs.get(key, 0):
                self.fail("epoch", f"row={key} from={self.epochs[key]} to={epoch}")
            self.epochs[key] = epoch
        version = rows.get("configuration/head", {}).get("version", 0)
        if version < self.version:
            self.fail("version", f"from={self.version} to={version}")
        self.version = max(version, self.version)


def read_rows(url):
    with urllib.request.urlopen(url + "/control/state", timeout=5) as answer:
        state = json.load(answer)
    return {row["key"]: json.loads(row["value"]) for row in state["rows"] if not row["key"].startswith("request/")}


def main(arguments):
    if len(arguments) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    url, stop_file = arguments
    checker = Checker()
    while not os.path.exists(stop_file):
        checker.check(read_rows(url))
        time.sleep(POLL_SECONDS)
    checker.check(read_rows(url))
    for name, use in sorted(checker.largest_use.items()):
        print(f"pool={name} largest_use={use}")
    print(f"snapshots={checker.snapshots} hosts_maintained={len(checker.maintained)}"
          f" configuration_version={checker.version} violations={len(checker.violations)}")
    return 1 if checker.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
