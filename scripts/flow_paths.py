"""Prints which balancers forwarded the datagrams of each flow, as the backends recorded it.

Usage: flow_paths.py MACHINE_LIST BACKEND_PROBE_ADDRESS...
Exits with 0 if at least one flow reached a single backend through balancers of two or more zones, and
no attempt of a flow reached two backends; otherwise with 1. (A flow that was refused as not run is
retried as the next attempt, perhaps at another backend.)
"""

import json
import sys
import urllib.request

SHOWN_FLOWS = 5
FETCH_TIMEOUT_S = 5


def zones_by_data_address(machine_list_file):
    with open(machine_list_file, encoding="utf-8") as file:
        machines = json.load(file)["machines"]
    return {machine["data_address"]: machine["zone"] for machine in machines}


def recorded_flows(probe_address):
    url = f"http://{probe_address}/flows"
    with urllib.request.urlopen(url, timeout=FETCH_TIMEOUT_S) as reply:
        return json.load(reply)


def main():
    zones = zones_by_data_address(sys.argv[1])
    backends_of_attempt = {}
    crossing = []
    for probe_address in sys.argv[2:]:
        for record in recorded_flows(probe_address):
            backends_of_attempt.setdefault((record["flow"], record["attempt"]), set()).add(probe_address)
            by_zone = {zones[address]: count for address, count in record["balancers"].items()}
            if len(by_zone) >= 2:
                crossing.append((record["flow"], record["caller"], probe_address, by_zone))
    on_two_backends = sum(len(backends) > 1 for backends in backends_of_attempt.values())
    for flow, caller, backend, by_zone in crossing[:SHOWN_FLOWS]:
        path = ", ".join(f"{zone} {count}" for zone, count in sorted(by_zone.items()))
        print(f"flow {flow} of caller {caller}, back end probed at {backend}: datagrams by {path}")
    print(f"{len(backends_of_attempt)} attempts of flows; {len(crossing)} went through balancers of two or more "
          f"zones to one back end; {on_two_backends} reached two back ends")
    return 0 if crossing and on_two_backends == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
