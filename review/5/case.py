"""A zone is evacuated during a storm of versions of a large configuration."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from standins import TROUBLE, CannotRun, Client, now, run_case  # noqa: E402

# Bounds of the site that are not those of the small one.
SITE_BOUNDS = {"contact_ms": 5000, "ack_timeout_ms": 8000, "catchup_s": 6, "drain_ms": 5000,
               "config_apply_ms": 5000, "max_stretch_ms": 15000, "recover_s": 15,
               "warmup_overage": 1.5, "warmup_slack": 5, "evacuate_ms": 5000}
EVACUATE_S = SITE_BOUNDS["evacuate_ms"] / 1000
GROWTH = 1560             # routes of one growth of the configuration
STORM_S, GAP_S = 4.0, 0.33
EVACUATED_FOR_S = 24.0


async def play(world):
    world.bounds.update(SITE_BOUNDS)
    world.link_mbps = 10.0
    zones = ["charguia", "lac", "ariana"]
    world.seed_ips = [world.machine_ip(number) for number in (1, 2, 3)]
    base = [("listen", 8443, "listen-api"), ("ingest", 8444, "ingest")]
    idle = [(f"r-{index:05d}", 10000 + index, "listen-api") for index in range(240)]
    services = ["listen-api", "ingest"]
    version = 7
    world.put_config(version, base + idle, services)
    for index in range(14):
        world.add_server(f"i-1{index:07x}", "listen-api", zones[index % 3], f"127.128.0.{1 + index}")
    for index in range(4):
        world.add_server(f"i-2{index:07x}", "ingest", zones[index % 3], f"127.129.0.{1 + index}")
    for number, zone in enumerate(zones, 1):
        world.add_machine(f"edge-{zone}-1", zone, world.machine_ip(number))
    for machine in world.machines.values():
        machine.start()
    await world.wait_ready(world.machines, 15)
    await asyncio.sleep(6)

    for _ in range(3):
        version += 3
        idle += [(f"r-{len(idle) + index:05d}", 10000 + len(idle) + index, "listen-api")
                 for index in range(GROWTH)]
        world.put_config(version, base + idle, services)
        await asyncio.sleep(4)

    client = Client(world, f"127.64.{world.net}.1", "lac")
    calls, storm_ends, evacuated_at = [], now() + STORM_S, None
    next_version = now()
    while evacuated_at is None or now() < evacuated_at + EVACUATED_FOR_S:
        if TROUBLE and next_version <= now() < storm_ends:
            version += 3
            next_version += GAP_S
            world.put_config(version, base + idle + [("new", 9000 + version, "ingest")], services)
        if evacuated_at is None and now() >= storm_ends - STORM_S / 2:
            world.store.put("op/evacuate/lac", "{}")
            evacuated_at = now()
            world.record.write("operator: store acknowledged that zone lac is evacuated")
        number = len(calls) + 1
        calls.append(asyncio.create_task(client.call(8443 if number % 2 else 8444, f"a{number}")))
        await asyncio.sleep(0.1)
    outcomes = await asyncio.gather(*calls)
    served = sum(outcome.startswith("done") for outcome, _ in outcomes)
    world.record.write(f"{served} of {len(calls)} requests were served")
    before = sum(at < evacuated_at for server in world.servers.values() if server.zone == "lac"
                 for at, _, _ in server.openings)
    if before == 0:
        raise CannotRun("the zone's servers got nothing before either")

    violations = []
    for server in world.servers.values():
        for at, name, flow in server.openings:
            in_touch = name in world.machines and world.machines[name].in_touch(at)
            if server.zone == "lac" and at > evacuated_at + EVACUATE_S and in_touch:
                violations.append(f"EVAC: {server.id} in lac took a flow through {name} "
                                  f"{at - evacuated_at:.2f} s after the evacuation was acknowledged")
    return violations


run_case(FOLDER, play)
