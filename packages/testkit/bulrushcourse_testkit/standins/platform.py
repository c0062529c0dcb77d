"""Stand-in of the platform: table service, object store and VM list.

Run it with ``python -m bulrushcourse_testkit.standins.platform PORT``.
``PUT /control/faults`` with a JSON object of ``Faults`` fields sets the
faults, and ``PUT /control/vms`` with a JSON list sets the VMs.
"""

import asyncio
import sys
import typing

import attrs
from aiohttp import web

# Longer than the timeout of any client.
HANG_S = 3600.0


@attrs.define
class Faults:
    """Faults of the table service and the object store.

    Attributes:
        down: Whether requests get no response.
        delay_ms: Delay of every response.
        lose_answers: Whether writes take effect but get no response.
        fail_after_commits: Number of commits after which the store goes down,
            -1 for never.
        counted_prefix: Only commits of a key with this prefix count for
            ``fail_after_commits``.
        vms_down: Whether requests for the VM list get no response.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: bool = False
    fail_after_commits: int = -1
    counted_prefix: str = ''
    vms_down: bool = False


@attrs.define
class PlatformStandIn:
    """In-memory rows, objects and VMs.

    Attributes:
        rows: Version and value by key.
        objects: Objects by key.
        vms: VMs in the VM list.
        faults: Active faults.
        reads: Number of reads served.
        writes: Number of rows and objects written or deleted.
        last_version: Version of the newest change of a row.
    """

    rows: dict[str, tuple[int, typing.Any]] = attrs.field(factory=dict)
    objects: dict[str, bytes] = attrs.field(factory=dict)
    vms: list[dict[str, typing.Any]] = attrs.field(factory=list)
    faults: Faults = attrs.field(factory=Faults)
    reads: int = 0
    writes: int = 0
    last_version: int = 0

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=256 << 20)
        application.router.add_routes(
            [
                web.get('/table/rows/{key:.*}', self.get_row),
                web.get('/table/scan/{prefix:.*}', self.scan_rows),
                web.post('/table/transact', self.transact),
                web.get('/objects/{key:.*}', self.get_object),
                web.put('/objects/{key:.*}', self.put_object),
                web.delete('/objects/{key:.*}', self.delete_object),
                web.get('/vms/vms', self.list_vms),
                web.put('/control/faults', self.set_faults),
                web.put('/control/vms', self.set_vms),
                web.get('/control/counts', self.show_counts),
            ]
        )
        return application

    async def get_row(self, request: web.Request) -> web.Response:
        """Return a row with its version, version 0 if absent."""
        await self._apply_faults()
        self.reads += 1
        version, value = self.rows.get(request.match_info['key'], (0, None))
        return web.json_response({'version': version, 'value': value})

    async def scan_rows(self, request: web.Request) -> web.Response:
        """Return at most ``limit`` rows whose keys have a prefix.

        They are sorted by key and start after the key ``after``.
        """
        await self._apply_faults()
        self.reads += 1
        limit = int(request.query.get('limit', '100'))
        prefix = request.match_info['prefix']
        after = request.query.get('after', '')
        matching = [
            {'key': key, 'version': version, 'value': value}
            for key, (version, value) in sorted(self.rows.items())
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(matching[:limit])

    async def transact(self, request: web.Request) -> web.Response:
        """Apply all writes if every expected version matches."""
        writes = await request.json()
        await self._apply_faults()
        current = {
            w['key']: self.rows.get(w['key'], (0, None))[0] for w in writes
        }
        if any(current[w['key']] != w['expected'] for w in writes):
            return web.json_response({'result': 'conflict'})
        for write in writes:
            self._write_row(write['key'], write['value'])
        lose_response = self.faults.lose_answers
        prefix = self.faults.counted_prefix
        is_counted = any(w['key'].startswith(prefix) for w in writes)
        if is_counted and self.faults.fail_after_commits > 0:
            self.faults.fail_after_commits -= 1
            if self.faults.fail_after_commits == 0:
                self.faults.down = lose_response = True
        if lose_response:
            await asyncio.sleep(HANG_S)
        return web.json_response({'result': 'committed'})

    async def get_object(self, request: web.Request) -> web.Response:
        """Return an object, 404 if absent."""
        await self._apply_faults()
        self.reads += 1
        content = self.objects.get(request.match_info['key'])
        if content is None:
            raise web.HTTPNotFound
        return web.Response(body=content)

    async def put_object(self, request: web.Request) -> web.Response:
        """Store an object."""
        content = await request.read()
        await self._apply_faults()
        self.writes += 1
        self.objects[request.match_info['key']] = content
        return web.Response(status=204)

    async def delete_object(self, request: web.Request) -> web.Response:
        """Delete an object if it exists."""
        await self._apply_faults()
        self.writes += 1
        self.objects.pop(request.match_info['key'], None)
        return web.Response(status=204)

    async def list_vms(self, request: web.Request) -> web.Response:
        """Return the VM list."""
        if self.faults.vms_down:
            await asyncio.sleep(HANG_S)
        return web.json_response(self.vms)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the active faults."""
        self.faults = Faults(**await request.json())
        return web.Response(status=204)

    async def set_vms(self, request: web.Request) -> web.Response:
        """Replace the VM list."""
        self.vms = await request.json()
        return web.Response(status=204)

    async def show_counts(self, request: web.Request) -> web.Response:
        """Return the number of reads and writes."""
        return web.json_response({'reads': self.reads, 'writes': self.writes})

    def _write_row(self, key: str, value: typing.Any) -> None:
        self.writes += 1
        self.last_version += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (self.last_version, value)

    async def _apply_faults(self) -> None:
        if self.faults.down:
            await asyncio.sleep(HANG_S)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)


def main() -> None:
    """Serve on the port given as the first argument."""
    web.run_app(
        PlatformStandIn().application(),
        host='127.0.0.1',
        port=int(sys.argv[1]),
        print=None,
        access_log=None,
        shutdown_timeout=0.1,
    )


if __name__ == '__main__':
    main()
