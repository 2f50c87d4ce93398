"""A balancer that starts anew takes over a list of servers that no later change puts right."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_ins import TROUBLE, CannotRun, Node, Store, configuration, main  # noqa: E402

ROUTE = ("198.18.0.1", 8443)
# With the others more than the store puts on a page. Nothing is ever sent to them.
OTHER_SERVERS = 520
# Ages of the answers to reads with `stale`, which may be seconds old: first and second page.
PAGE_AGES_S = (0.1, 2.0)
SERVES_ON_S = 14


async def play(world):
    world.store = Store(world.record, lambda n: PAGE_AGES_S[(n - 1) % len(PAGE_AGES_S)])
    await world.store.start()
    world.store.put("op/config", configuration(
        7, {ROUTE: "listen", ("198.18.0.2", 8443): "archive"}, ["listen", "archive"]))
    for index in range(OTHER_SERVERS):
        world.store.put(f"servers/i-{index + 1:08x}", (
            '{"service":"archive","address":"127.9.%d.%d:8080","zone":"lac","version":"v1",'
            '"capacity":2,"state":"ready","warmup_left_ms":0,"seq":1}'
            % (index // 250, index % 250 + 1)))
    for index in range(5):
        server = await world.add_server(0x7f000000 + index, "listen", "lac")
        server.announce()
    await asyncio.sleep(max(PAGE_AGES_S) + 0.5)

    for index in range(3):
        world.nodes.append(Node(world, f"edge-{index}", "lac", world.node_ip(index),
                                world.store.address))
        world.nodes[-1].start()
    for node in world.nodes:
        await node.wait_ready()
    await world.add_clients(6)
    await asyncio.sleep(4.5)
    before = await world.send_requests(world.nodes, ROUTE, 30, 2)
    if sum(outcome["result"] == "ok" for outcome in before) < 0.9 * len(before):
        raise CannotRun("requests are not served before the disruption")

    # One server says that it leaves, another never says so; both serve on for many seconds.
    traffic = asyncio.create_task(world.send_requests(world.nodes, ROUTE, 30, SERVES_ON_S + 3))
    announced, unannounced = world.servers[:2]
    announced.announce("draining")
    unannounced.leave_unannounced()
    await asyncio.sleep(0.3)
    if TROUBLE:
        world.nodes[0].kill()
        await asyncio.sleep(0.5)
        world.nodes[0].start()
    await asyncio.sleep(SERVES_ON_S)
    world.store.remove(announced.key)
    announced.stop()
    unannounced.stop()
    await traffic

    breaks = world.drain_breaks()
    for server, late, _, _ in breaks:
        world.record.write(f"DRAIN: an opening reached {server.name} {late:.1f} s after the "
                           "store took its leaving")
    served = sum(outcome["result"] == "ok" for outcome in world.outcomes)
    world.record.write(
        f"{len(world.outcomes)} requests, {served} served; {len(breaks)} openings break DRAIN, "
        f"the last {max((late for _, late, _, _ in breaks), default=0):.1f} s after; "
        f"{sum(server is announced for server, _, _, _ in breaks)} of them at {announced.name}, "
        f"which had said so", echo=True)
    return bool(breaks)


main(__file__, play)
