"""Tests of authentication, reconnection and delivery between processes."""

import asyncio

import pytest
import zmq

from teaselpath.transport import CurveKeys, KeyAllowList, Node, PeerLost, Received
from teaselpath.wire import Cancel, Cancelled, Control, ControlReply, decode, encode

WAIT_S = 10.0


def make_node(host, keys, allowed, incarnation=1):
    events: asyncio.Queue = asyncio.Queue()
    node = Node(host, incarnation, "127.0.0.1:*", keys, KeyAllowList(allowed), events.put_nowait)
    return node, events


def bound_address(node):
    return node.router.getsockopt_string(zmq.LAST_ENDPOINT).removeprefix("tcp://")


async def send_until_connected(node, host, message):
    async with asyncio.timeout(WAIT_S):
        while node.send(host, message).is_err():
            await asyncio.sleep(0.01)


async def next_event(events, kind):
    async with asyncio.timeout(WAIT_S):
        while True:
            event = await events.get()
            if isinstance(event, kind):
                return event


@pytest.fixture
def keys():
    return [CurveKeys.generate() for _ in range(3)]


def test_messages_are_delivered_both_ways_and_lost_peer_is_reported(keys):
    """Guards against an entry that waits for a reply of a stopped agent."""

    async def scenario():
        agent, agent_events = make_node("agent", keys[0], {keys[1].public})
        entry, entry_events = make_node("entry", keys[1], set())
        await agent.start()
        await entry.start()
        entry.connect("agent", bound_address(agent), keys[0].public)
        await send_until_connected(entry, "agent", Cancel("r", 1, True))
        received = await next_event(agent_events, Received)
        assert (received.host, received.message) == ("entry", Cancel("r", 1, True))
        assert agent.reply("entry", Cancelled("r", 1, False)).is_ok()
        assert (await next_event(entry_events, Received)).message == Cancelled("r", 1, False)
        await agent.stop()
        assert (await next_event(entry_events, PeerLost)).host == "agent"
        await entry.stop()

    asyncio.run(scenario())


def test_unknown_key_is_rejected(keys):
    """Guards against an agent that accepts messages from an untrusted process."""

    async def scenario():
        agent, agent_events = make_node("agent", keys[0], {keys[1].public})
        untrusted, _ = make_node("stranger", keys[2], set())
        trusted, _ = make_node("entry", keys[1], set())
        for node in (agent, untrusted, trusted):
            await node.start()
        for node in (untrusted, trusted):
            node.connect("agent", bound_address(agent), keys[0].public)
        async with asyncio.timeout(WAIT_S):
            while agent.allow_list.rejected == 0:
                await asyncio.sleep(0.01)
        assert untrusted.send("agent", Cancel("r", 1, True)).is_err()
        await send_until_connected(trusted, "agent", Cancel("s", 1, True))
        assert (await next_event(agent_events, Received)).host == "entry"
        for node in (agent, untrusted, trusted):
            await node.stop()

    asyncio.run(scenario())


def test_send_without_connection_is_an_error(keys):
    """Guards against a start that stays queued and runs after it was reported as not run."""

    async def scenario():
        entry, _ = make_node("entry", keys[0], set())
        await entry.start()
        entry.connect("agent", "127.0.0.1:1", keys[1].public)
        assert entry.send("agent", Cancel("r", 1, True)).is_err()
        await entry.stop()

    asyncio.run(scenario())


def test_peer_that_was_rejected_connects_once_its_key_is_known(keys):
    """Guards against an entry that never reconnects after the agent adds its key."""

    async def scenario():
        agent, agent_events = make_node("agent", keys[0], set())
        entry, _ = make_node("entry", keys[1], set())
        await agent.start()
        await entry.start()
        entry.connect("agent", bound_address(agent), keys[0].public)
        async with asyncio.timeout(WAIT_S):
            while agent.allow_list.rejected == 0:
                await asyncio.sleep(0.01)
        agent.allow_list.keys = {keys[1].public}
        await send_until_connected(entry, "agent", Cancel("r", 1, True))
        assert (await next_event(agent_events, Received)).host == "entry"
        await agent.stop()
        await entry.stop()

    asyncio.run(scenario())


def test_no_message_is_stuck_while_both_sides_send(keys):
    """Guards against a reader that never wakes up because a send consumed its readiness signal."""
    count = 3000

    async def scenario():
        agent, agent_events = make_node("agent", keys[0], {keys[1].public})
        entry, entry_events = make_node("entry", keys[1], set())
        await agent.start()
        await entry.start()
        entry.connect("agent", bound_address(agent), keys[0].public)
        await send_until_connected(entry, "agent", Cancel("first", 1, True))

        async def answer():
            for _ in range(count):
                event = await agent_events.get()
                agent.reply("entry", Cancelled(event.message.request_id, 1, False))

        answering = asyncio.create_task(answer())
        for number in range(count):
            assert entry.send("agent", Cancel(str(number), 1, True)).is_ok()
            if number % 7 == 0:
                await asyncio.sleep(0)
        async with asyncio.timeout(WAIT_S):
            await answering
            for _ in range(count):
                await entry_events.get()
        await agent.stop()
        await entry.stop()

    asyncio.run(scenario())


def test_operator_tool_gets_reply_without_routing_id(keys):
    """Guards against lost replies to the tool, and against other messages from its socket."""

    async def scenario():
        agent, events = make_node("agent", keys[0], {keys[1].public})

        def answer(event):
            events.put_nowait(event)
            agent.reply(event.host, ControlReply(event.message.request_id, 0, b"{}"))

        agent.deliver = answer
        await agent.start()
        tool = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        tool.linger = 0
        tool.curve_serverkey = keys[0].public
        tool.curve_publickey, tool.curve_secretkey = keys[1].public, keys[1].secret
        tool.connect(f"tcp://{bound_address(agent)}")
        async with asyncio.timeout(WAIT_S):
            await tool.send(encode(Cancel("r", 1, True)))
            await tool.send(encode(Control("q", b"", b"", b"")))
            assert decode(await tool.recv()).unwrap() == ControlReply("q", 0, b"{}")
        assert isinstance(events.get_nowait().message, Control)
        assert events.empty()
        assert not agent.inbound
        tool.close()
        await agent.stop()

    asyncio.run(scenario())
