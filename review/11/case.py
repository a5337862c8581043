"""A client's request body whose Transfer-Encoding doesn't end with "chunked": what stands in the body runs as a request of its own."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand_ins_3"))
sys.dont_write_bytecode = True
import small_platform as sp  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CODINGS = ["gzip", "identity", "deflate", "chunked, gzip"]
STARTED = time.monotonic()
lines = []


def note(text):
    lines.append("%8.3f %s" % (time.monotonic() - STARTED, text))


def document(number):
    """A text that a caller files as a note. It holds the words of an order, which nobody sends."""
    return ("POST /orders/new HTTP/1.1\r\nHost: pupu76.example\r\nRequest-Id: inside-%d\r\nDeadline-Ms: 5000\r\nContent-Length: 7\r\n\r\n12 burl"
            % number).encode()


async def file_note(address, number, coding):
    """Sends one request, with the document as its body, and reads until the node is done with it."""
    body = document(number)
    framing = "Transfer-Encoding: %s" % coding if TROUBLE else "Content-Length: %d" % len(body)
    head = "POST /notes/file HTTP/1.1\r\nHost: pupu76.example\r\nRequest-Id: sent-%d\r\nDeadline-Ms: 1200\r\n%s\r\n\r\n" % (number, framing)
    reader, writer = await sp.connect(address)
    writer.write(head.encode() + body)
    answers = []
    try:
        while True:
            line, headers, _ = await asyncio.wait_for(sp.read_message(reader), 1)
            answers.append((line, headers.get("request-id", ["-"])[0]))
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()
    note("client sent one request, id sent-%d, %s, body of %d bytes; answers: %s" % (
        number, framing, len(body), "; ".join("%s (id %s)" % item for item in answers) or "none"))
    return answers


async def main():
    async with sp.Site() as site:
        for index in range(2):
            await site.add_backend(sp.Backend("ledger-%d" % index, "ledger", work=0.02))
            await site.add_backend(sp.Backend("notes-%d" % index, "notes", work=0.02))
        routes = [sp.route("orders", "/orders/", kind="non_idempotent", timeout=5000, target=800, service="ledger"),
                  sp.route("notes", "/notes/", timeout=1200, target=200, service="notes")]
        site.store.put("config", "main", sp.configuration(7, routes, ["ledger", "notes"]))
        await site.start_nodes(2)
        note("nodes ready")
        answered = 0
        for number in range(12):
            answers = await file_note(site.nodes[number % 2].addresses["front"], number, CODINGS[number % len(CODINGS)])
            answered += bool(answers)
        unasked = []
        for backend in site.backends.values():
            for _, request_id, method, path, body in backend.runs:
                note("%s ran %s: %s %s, body of %d bytes" % (backend.ident, request_id, method, path, len(body)))
                if not request_id.startswith("sent-"):
                    unasked.append(request_id)
        note("answered %d of 12; run although no client sent them: %d (%s)" % (answered, len(unasked), ", ".join(sorted(unasked))))
        if answered < 12:
            return 2
        return 1 if unasked else 0


if __name__ == "__main__":
    try:
        status = asyncio.run(asyncio.wait_for(main(), 100))
    except Exception as error:  # noqa: BLE001
        note("the case could not run: %r" % error)
        status = 2
    with open(os.path.join(HERE, "record.txt"), "w") as record:
        record.write("\n".join(lines) + "\n")
    print(lines[-1])
    sys.exit(status)
