"""Slopes of the work for one request: prefix chain, probes, start, chunks and admission."""

from random import Random

from capacity_endpoint import hashes
from capacity_fit import Slope, allocated, cpu_us, cpu_us_fresh

from teaselpath.delivery import (
    AckDue,
    FromEntry,
    RequestLedger,
    RunChunk,
    RunEnd,
    RunStarting,
    StreamAssembler,
)
from teaselpath.prefix import PrefixRouter, Routed, chain_hashes, chain_seed
from teaselpath.results import Code, Ran
from teaselpath.scheduling import Finished, Scheduler, Submit
from teaselpath.wire import (
    Ack,
    Chunk,
    End,
    Probe,
    ProbeReply,
    QuotaGrant,
    QuotaReserve,
    QuotaSettle,
    Send,
    Start,
    decode,
    encode,
)

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 8192
PROMPT_TOKENS = 16_384
CHAIN = 8
TOKENS_PER_REQUEST = 6_100_000 / 18_000
ENGINES_PER_REGION = 400
REQUEST_ID = "0b8a63ac-4cf5-4e1a-9d5e-7c4f2d0a1b2c.engine-01234"
# An SSE event of the OpenAI-style API with one token.
EVENT = (
    b'data: {"id":"' + REQUEST_ID.encode() + b'","object":"text_completion","created":1700000000,'
    b'"model":"model-1","choices":[{"index":0,"text":" word","finish_reason":null}]}\n\n'
)


def start(prompt_tokens: int) -> Start:
    """Return a start with the prompt in its body."""
    chain = list(hashes(max(1, prompt_tokens * BYTES_PER_TOKEN // BLOCK_BYTES)))
    return Start(
        REQUEST_ID,
        1,
        "workspace-00001",
        "interactive",
        "model-1",
        30_000,
        2300,
        "w1",
        chain,
        prompt_tokens,
        400,
        True,
        b"",
        "POST",
        "/v1/completions",
        [("content-type", "application/json")],
        bytes(prompt_tokens * BYTES_PER_TOKEN),
        True,
        key_digest=bytes(32),
        agent_incarnation=1,
        entry_incarnation=1,
        sequence=1,
    )


def start_cpu(prompt_tokens: int) -> float:
    """Measure encoding, decoding and accepting a start."""
    message = start(prompt_tokens)

    def run() -> None:
        RequestLedger(1).handle(FromEntry("entry-1", decode(encode(message)).unwrap()), 0.0)

    return cpu_us(run, 50)


def chain_cpu(prompt_tokens: int) -> float:
    """Measure the hash chain of a prompt."""
    text = Random(1).randbytes(prompt_tokens * BYTES_PER_TOKEN)
    seed = chain_seed("workspace-00001", "model-1", "w1")
    return cpu_us(lambda: chain_hashes(text, seed, BLOCK_BYTES), 20)


def probe(chain: int) -> Probe:
    """Return a probe."""
    values = list(hashes(chain))
    return Probe(123_456, "workspace-00001", "model-1", "interactive", values, chain * 2048)


def probe_reply(endpoint: str) -> ProbeReply:
    """Return the answer to a probe."""
    incarnation = "7c4f2d0a1b2c"
    return ProbeReply(123_456, endpoint, True, 3, 12.5, 100.0, "w1", incarnation, 20, 2, 1)


def probe_bytes(chain: int) -> float:
    """Measure a probe with its reply."""
    return len(encode(probe(chain))) + len(encode(probe_reply("engine-01234")))


def probe_cpu(chain: int) -> float:
    """Measure encoding and decoding a probe and its reply, at both ends together."""
    message, reply = probe(chain), probe_reply("engine-01234")

    def run() -> None:
        decode(encode(message))
        decode(encode(reply))

    return cpu_us(run, 500)


def router_of(engines: int) -> tuple[PrefixRouter, list[str]]:
    """Return a router of one region."""
    return PrefixRouter(), [f"engine-{number:05}" for number in range(engines)]


def route_cpu(engines: int) -> float:
    """Measure candidates, choice and bookkeeping of a request whose slots are known."""
    router, endpoints = router_of(engines)
    chain = hashes(CHAIN)

    def run() -> None:
        names = router.candidates(chain, endpoints, 1.0)
        replies = [probe_reply(name) for name in names]
        choice = router.choose(chain, PROMPT_TOKENS, replies, 1.0)
        assert choice is not None
        router.handle(Routed("request", choice, chain, PROMPT_TOKENS), 1.0)

    run()
    return cpu_us(run, 200)


def order_cpu(engines: int) -> float:
    """Measure the first request of a slot, which ranks all endpoints."""
    chain = hashes(1)

    def run(made: tuple[PrefixRouter, list[str]]) -> None:
        made[0].candidates(chain, made[1], 1.0)

    return cpu_us_fresh(lambda: router_of(engines), run)


def router_memory(slots: int) -> float:
    """Measure the orders that the router keeps."""

    def build() -> PrefixRouter:
        router, endpoints = router_of(ENGINES_PER_REGION)
        router.candidates((), endpoints, 1.0)
        for slot in range(slots):
            router.local.top(slot.to_bytes(4, "big") + bytes(12), 1)
        return router

    return allocated(build)


def agent_stream(chunks: int) -> tuple[RequestLedger, list[bytes]]:
    """Run a request at the agent and return what the entry gets, encoded."""
    ledger = RequestLedger(1)
    ledger.handle(FromEntry("entry-1", start(1)), 0.0)
    ledger.handle(RunStarting(REQUEST_ID, 1), 0.0)
    sent: list[bytes] = []

    def take(actions: list) -> None:
        sent.extend(encode(action.message) for action in actions if isinstance(action, Send))

    for number in range(1, chunks + 1):
        take(ledger.handle(RunChunk(REQUEST_ID, 1, EVENT), 0.1))
        if number % 16 == 0:
            take(ledger.handle(FromEntry("entry-1", Ack(REQUEST_ID, 1, number, 64)), 0.1))
    take(ledger.handle(RunEnd(REQUEST_ID, 1, Code.OK, Ran.RAN, 1, 0, chunks), 0.2))
    return ledger, sent


def entry_stream(sent: list[bytes]) -> None:
    """Take a stream at the entry and encode its acknowledgements."""
    assembler = StreamAssembler(REQUEST_ID, 1, 0.0)
    for data in sent:
        message = decode(data).unwrap()
        assert isinstance(message, Chunk | End)
        for action in assembler.handle(message, 0.1):
            if isinstance(action, AckDue):
                encode(Ack(REQUEST_ID, 1, action.number, action.window))
    assert assembler.completed is not None


def stream_bytes(chunks: int) -> float:
    """Measure the chunks of a stream, its end and its acknowledgements."""
    acks = (chunks + 15) // 16
    sent = agent_stream(chunks)[1]
    return sum(map(len, sent)) + acks * len(encode(Ack(REQUEST_ID, 1, chunks, 64)))


def entry_chunk_cpu(chunks: int) -> float:
    """Measure a stream at the entry."""
    sent = agent_stream(chunks)[1]
    return cpu_us(lambda: entry_stream(sent), 5)


def buffer_memory(chunks: int) -> float:
    """Measure a stream's record with unacknowledged chunks."""

    def build() -> RequestLedger:
        ledger = RequestLedger(1)
        ledger.handle(FromEntry("entry-1", start(1)), 0.0)
        ledger.handle(RunStarting(REQUEST_ID, 1), 0.0)
        for number in range(chunks):
            ledger.handle(RunChunk(REQUEST_ID, 1, EVENT + bytes([number % 256])), 0.1)
        return ledger

    return allocated(build)


def finished_memory(count: int) -> float:
    """Measure the memory of ended requests."""
    message = start(1)

    def build() -> RequestLedger:
        ledger = RequestLedger(1)
        for number in range(count):
            request_id = f"{number:036}.engine-01234"
            copy = decode(encode(message)).unwrap()
            assert isinstance(copy, Start)
            copy.request_id, copy.sequence = request_id, number
            ledger.handle(FromEntry("entry-1", copy), 0.0)
            ledger.handle(RunStarting(request_id, 1), 0.0)
            ledger.handle(RunEnd(request_id, 1, Code.OK, Ran.RAN), 0.0)
            ledger.handle(FromEntry("entry-1", Ack(request_id, 1, 1, 64)), 0.0)
        return ledger

    return allocated(build)


def schedule_cpu(workspaces: int) -> float:
    """Measure a request that ends and starts the next one, with a queue of 200 requests."""
    scheduler = Scheduler(slots=64, max_queued=100_000)
    for number in range(264):
        workspace = f"workspace-{number % workspaces}"
        scheduler.handle(Submit(f"r{number}", workspace, 1.0, 1e3, 0, 1e9, 1e8), 0.0)
    numbers = iter(range(10**9))

    def run() -> None:
        number = next(numbers)
        running = next(iter(scheduler.running))
        submit = Submit(f"n{number}", f"workspace-{number % workspaces}", 1.0, 1e3, 0, 1e9, 1e8)
        scheduler.handle(submit, 1.0)
        scheduler.handle(Finished(running, 900.0), 1.0)

    return cpu_us(run, 50)


def quota_bytes(requests: int) -> float:
    """Measure the quota messages of requests at an entry that is no home."""
    messages = (
        QuotaReserve(REQUEST_ID, "workspace-00001", "entry-001", 16_784, 2000),
        QuotaGrant(REQUEST_ID, True),
        QuotaSettle(REQUEST_ID, "workspace-00001", 16_500),
    )
    return requests * sum(len(encode(message)) for message in messages)


def request_slopes() -> list[Slope]:
    """Return the slopes of this module."""
    prompts = (2048, 8192, 32_768)
    chains = (2, 8, 32)
    streams = (64, 256, 1024)
    tokens = TOKENS_PER_REQUEST
    return [
        Slope("chain.cpu", "us", "prompt tokens", prompts, PROMPT_TOKENS, chain_cpu),
        Slope("probe.bytes", "B", "blocks of a chain", chains, CHAIN, probe_bytes),
        Slope("probe.cpu", "us", "blocks of a chain", chains, CHAIN, probe_cpu),
        Slope("route.cpu", "us", "endpoints", (100, 200, 400), ENGINES_PER_REGION, route_cpu),
        Slope("route.order_cpu", "us", "endpoints", (100, 200, 400), ENGINES_PER_REGION, order_cpu),
        Slope("route.memory", "B", "slots", (256, 512, 1024), 2048, router_memory),
        Slope(
            "start.bytes",
            "B",
            "prompt tokens",
            prompts,
            PROMPT_TOKENS,
            lambda n: len(encode(start(n))),
        ),
        Slope("start.cpu", "us", "prompt tokens", prompts, PROMPT_TOKENS, start_cpu),
        Slope("chunk.bytes", "B", "chunks", streams, tokens, stream_bytes),
        Slope(
            "chunk.agent_cpu",
            "us",
            "chunks",
            streams,
            tokens,
            lambda n: cpu_us(lambda: agent_stream(n), 5),
        ),
        Slope("chunk.entry_cpu", "us", "chunks", streams, tokens, entry_chunk_cpu),
        Slope("chunk.buffer_memory", "B", "chunks", (16, 32, 64), 64, buffer_memory),
        Slope("finished.memory", "B", "requests", (1000, 2000, 4000), 6750, finished_memory),
        Slope("schedule.cpu", "us", "queued workspaces", (5, 10, 20), 20, schedule_cpu),
        Slope("quota.request_bytes", "B", "requests", (1, 2, 3), 1, quota_bytes),
    ]
