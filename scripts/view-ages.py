#!/usr/bin/env python3
"""Prints the delay with which each node received changes, from the logs of all nodes of a run.

    scripts/view-ages.py [--worst N] [--from S] [--until S] LOG

LOG has lines "SECONDS NODE {json}", as the platform's day player prints them with the logs of all
nodes. The delay of a change is the time since the first node that logged it. Nodes that had just started,
or that received the change with a full view, don't count. Also prints the age of the oldest view by
which a flow was placed, for each second.
"""
import argparse
import collections
import json
import re

LINE = re.compile(r"^\s*(-?[\d.]+)\s+(\S+)\s+(\{.*\})\s*$")
CHANGES = {"backend_state", "routes_in_force", "zone_out_of_service", "zone_back_in_service"}


def read(path):
    """@return time, node and fields of each line of a log."""
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            found = LINE.match(line)
            if not found:
                continue
            try:
                yield float(found[1]), found[2], json.loads(found[3])
            except json.JSONDecodeError:
                continue


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--worst", type=int, default=10, help="rows of each table")
    parser.add_argument("--from", dest="begin", type=float, default=0.0, help="first second")
    parser.add_argument("--until", type=float, default=1e9, help="last second")
    parser.add_argument("log")
    arguments = parser.parse_args()
    first = {}
    late = collections.defaultdict(list)
    ages = collections.defaultdict(lambda: (0, ""))
    for at, node, fields in sorted(read(arguments.log), key=lambda line: line[0]):
        event = fields.get("event")
        if not arguments.begin <= at <= arguments.until:
            continue
        if event == "flow_placed":
            ages[int(at)] = max(ages[int(at)], (fields["view_age_ms"], node))
        if event not in CHANGES or fields.get("state") == "retired":
            continue
        change = (event, fields["revision"])
        first.setdefault(change, at)
        late[event].append((at - first[change], at, node, fields["revision"]))
    for event, rows in sorted(late.items()):
        rows.sort(reverse=True)
        delays = sorted(row[0] for row in rows)
        print(f"{event}: {len(rows)} times, middle {delays[len(delays) // 2]:.2f} s,"
              f" 99% {delays[len(delays) * 99 // 100]:.2f} s")
        for delay, at, node, revision in rows[: arguments.worst]:
            print(f"  {delay:6.2f} s late at {at:7.2f} s, {node}, revision {revision}")
    print("oldest view by which a flow was placed, by second [ms]:")
    print("  " + " ".join(f"{second}:{age}" for second, (age, _) in sorted(ages.items())))


if __name__ == "__main__":
    main()
