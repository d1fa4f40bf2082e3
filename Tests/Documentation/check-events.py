"""Fails when an event that the job service logs is missing in docs/OPERATIONS.md. Argument: the sources."""
import pathlib
import re
import sys

ROOT = pathlib.Path(sys.argv[1])
CALL = re.compile(r'(?:logEvent\(\s*LogLevel::\w+,|observe\()\s*"([a-z-]+)"')
KIND_TABLE = re.compile(r'\{HostOrderKind::\w+, "([a-z-]+)"\}')

known = set(re.findall(r"`([a-z-]+)`", (ROOT / "docs/OPERATIONS.md").read_text()))
events = set()
for directory in ("Services/Jobs", "platform", "Kernel/Jobs", "Kernel/include/Kernel/Jobs"):
    for path in (ROOT / directory).rglob("*.*"):
        text = path.read_text()
        events.update(CALL.findall(text))
        events.update(KIND_TABLE.findall(text))
missing = sorted(events - known)
print(f"events={len(events)} missing={len(missing)} {' '.join(missing)}")
sys.exit(1 if missing or len(events) < 30 else 0)
