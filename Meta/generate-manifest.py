#!/usr/bin/env python3
"""Generates an example manifest, in the way an operator's build pipeline would.

Usage: Meta/generate-manifest.py [--platform] DEPLOYMENT [HOSTS [PORT]]

DEPLOYMENT is kallada or lakaz. HOSTS defaults to 50, four to a rack. Hosts of one pool are spread over
racks and data centres. Each host has one backend server; their ports count up from PORT on 127.0.0.1
(default 7200). With --platform, prints the settings of peridot-standin-platform for the same hosts
instead; PORT is then the port of the platform (default 7100).
"""

import json
import sys

DEPLOYMENTS = {
    "kallada": {
        "region": "kerala",
        "data_centres": ["kochi", "thrissur", "kollam"],
        "services": ["intake", "premises", "renewals", "treasury", "notices"],
        "spare": "notices",
        "capacity": {"processors": 32, "memory_gb": 128, "accelerators": 0},
        "jobs": [
            ("renewal-batch", "renewals", "urgent", 4),
            ("premises-scan", "premises", "normal", 6),
            ("notice-mailing", "notices", "deferrable", 8),
        ],
    },
    "lakaz": {
        "region": "mauritius-north",
        "data_centres": ["port-louis", "goodlands", "triolet", "pamplemousses"],
        "services": ["counter", "breakdown", "weighing", "hotel-orders", "back-office"],
        "spare": "back-office",
        "capacity": {"processors": 16, "memory_gb": 32, "accelerators": 0},
        "jobs": [
            ("breakdown-plan", "breakdown", "urgent", 4),
            ("hotel-forecast", "hotel-orders", "normal", 6),
            ("label-run", "back-office", "deferrable", 8),
        ],
    },
}
HOSTS_PER_RACK = 4


def make_manifest(deployment, host_count, backend_port):
    pools = deployment["services"]
    data_centres = deployment["data_centres"]
    hosts, servers = [], []
    for index in range(host_count):
        rack = index // HOSTS_PER_RACK
        data_centre = data_centres[rack % len(data_centres)]
        name = f"host-{rack:02d}-{index % HOSTS_PER_RACK + 1}"
        hosts.append({
            "name": name,
            "pool": pools[index % len(pools)],
            "rack": f"rack-{rack:02d}-1",
            "data_centre": data_centre,
            "region": deployment["region"],
            "capacity": deployment["capacity"],
        })
        servers.append({
            "name": f"server-{index:02d}",
            "host": name,
            "address": "127.0.0.1",
            "port": backend_port + index,
            "slots": 8,
            "connections": 64,
        })
    spare = deployment["spare"]
    return {
        "pools": [{
            "name": name,
            "availability_budget": max(1, host_count // len(pools) // 5),
            "spare": name == spare,
            "minimum_failure_domains": 2,
        } for name in pools],
        "hosts": hosts,
        "backend_servers": servers,
        # Every service may use every pool, its own first: a flood then gets all idle slots, and the
        # shares keep the other services whole.
        "services": [{
            "name": name,
            "share": 1.0,
            "deadline_ms": 5000,
            "pools": [name] + [other for other in pools if other != name],
        } for name in pools],
        "teams": [{
            "name": "operations",
            "quota": {"processors": 16 * host_count, "memory_gb": 32 * host_count},
        }],
        "jobs": [{
            "name": name,
            "pool": pool,
            "team": "operations",
            "urgency": urgency,
            "tasks": tasks,
            "task_size": {"processors": 2, "memory_gb": 4},
        } for name, pool, urgency, tasks in deployment["jobs"]],
        "maintenance": {"drain_timeout_ms": 60000, "reboot_timeout_ms": 60000, "generation": 1},
    }


def make_platform(deployment, host_count, port):
    data_centres = deployment["data_centres"]
    workers = []
    for rack in range((host_count + HOSTS_PER_RACK - 1) // HOSTS_PER_RACK):
        workers.append({
            "prefix": f"host-{rack:02d}-",
            "count": min(HOSTS_PER_RACK, host_count - rack * HOSTS_PER_RACK),
            "rack_prefix": f"rack-{rack:02d}-",
            "per_rack": HOSTS_PER_RACK,
            "data_centre": data_centres[rack % len(data_centres)],
            "processors": deployment["capacity"]["processors"],
            "memory_gigabytes": deployment["capacity"]["memory_gb"],
        })
    return {
        "address": "127.0.0.1",
        "port": port,
        "writes_per_second": 300,
        "reads_per_second": 2000,
        "host_list_lag_ms": 500,
        "gone_after_ms": 2000,
        "task_start_ms": 50,
        "checkpoint_ms": 200,
        "reboot_ms": 1000,
        "usage_lag_ms": 1000,
        "usage_factor": 0.6,
        "seed": 1,
        "workers": workers,
        "jobs": [],
    }


def main(arguments):
    platform = arguments[:1] == ["--platform"]
    arguments = arguments[1:] if platform else arguments
    if not 1 <= len(arguments) <= 3 or arguments[0] not in DEPLOYMENTS:
        print(__doc__, file=sys.stderr)
        return 2
    make = make_platform if platform else make_manifest
    host_count = int(arguments[1]) if len(arguments) > 1 else 50
    port = int(arguments[2]) if len(arguments) > 2 else (7100 if platform else 7200)
    print(json.dumps(make(DEPLOYMENTS[arguments[0]], host_count, port), indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
