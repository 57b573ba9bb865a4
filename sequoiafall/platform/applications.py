"""Web applications for the platform and callers: readiness and directory."""

from __future__ import annotations

from aiohttp import web

from ..node import Node
from . import names


class PlatformApplications:
    """Creates the web applications of a node."""

    def ready(self, node: Node) -> web.Application:
        """Return the application that reports whether the node is ready."""

        async def on_ready(_request: web.Request) -> web.Response:
            return web.Response(status=200 if node.is_ready else 503)

        application = web.Application()
        application.router.add_get(names.READY_PATH, on_ready)
        return application

    def directory(self, node: Node) -> web.Application:
        """Return the application that tells callers which instances to use."""

        async def on_resolve(request: web.Request) -> web.Response:
            addresses = node.addresses_for(request.query.get("zone", ""))
            if not addresses:
                return web.Response(status=503)
            body = {"addresses": addresses, "ttl_s": node.directory_ttl_s}
            return web.json_response(body)

        application = web.Application()
        application.router.add_get(names.DIRECTORY_PATH, on_resolve)
        return application
