"""Minimal aiohttp proxy, the baseline of the gateway benchmark."""

import sys

import aiohttp
from aiohttp import web


def make_app(upstream: str) -> web.Application:
    """Return an application that forwards each request to an address."""
    app = web.Application()

    async def run_session(app: web.Application):
        app["session"] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        yield
        await app["session"].close()

    async def forward(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        async with request.app["session"].request(
            request.method,
            f"http://{upstream}{request.path_qs}",
            data=body,
            headers={k: v for k, v in request.headers.items() if k.startswith("X-")},
        ) as upstream_response:
            response = web.StreamResponse(status=upstream_response.status)
            response.content_type = upstream_response.content_type
            await response.prepare(request)
            async for chunk in upstream_response.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    async def healthz(request: web.Request) -> web.Response:
        return web.Response(text="ok")

    app.cleanup_ctx.append(run_session)
    app.router.add_get("/healthz", healthz)
    app.router.add_route("*", "/{path:.*}", forward)
    return app


if __name__ == "__main__":
    host, _, port = sys.argv[2].rpartition(":")
    web.run_app(make_app(sys.argv[3]), host=host, port=int(port), print=None)
