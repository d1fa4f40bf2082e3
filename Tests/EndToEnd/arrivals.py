#!/usr/bin/env python3
"""Prints "arrivals last_arrival_ms" of each backend server stand-in, one line each, in the order given.

Usage: arrivals.py CONTROL_ADDRESS...
"""

import json
import sys
import urllib.request

for address in sys.argv[1:]:
    with urllib.request.urlopen(f"http://{address}/control/arrivals", timeout=10) as reply:
        state = json.load(reply)
    print(state["arrivals"], state["last_arrival_ms"])
