"""A proxy before the store whose open connections can go silent."""

import asyncio


class SilentProxy:
    """Forwards connections to an address, until they are silenced.

    A silent connection stays open on both sides and carries nothing any more. New
    connections are forwarded.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.server = None
        self.pairs = set()
        self.silent = []

    async def start(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def silence(self):
        """Let all open connections go silent for good; return their number."""
        pairs, self.pairs = self.pairs, set()
        for pair in pairs:
            for task in pair:
                task.cancel()
        return len(pairs)

    def close(self):
        """Close the silent connections."""
        for _, writer, _, back_writer in self.silent:
            writer.close()
            back_writer.close()

    async def _serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        back_reader, back_writer = await asyncio.open_connection(host, int(port))
        ends = (reader, writer, back_reader, back_writer)
        pair = (
            asyncio.create_task(self._forward(reader, back_writer)),
            asyncio.create_task(self._forward(back_reader, writer)),
        )
        self.pairs.add(pair)
        try:
            await asyncio.wait(pair, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if pair in self.pairs:
                self.pairs.discard(pair)
                writer.close()
                back_writer.close()
            else:
                self.silent.append(ends)  # kept, so that nothing closes them

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
