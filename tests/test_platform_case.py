"""Tests of the base class of tests on stand-ins of the users' platform."""

import os
from unittest.mock import patch

from . import platform_case
from .platform_case import NETWORKS, PlatformCase


class NetworkTest(PlatformCase):
    """Processes of tests that run at the same time use addresses of their own."""

    async def test_processes_whose_identifiers_have_the_same_remainder(self):
        """Their nodes could not start: "address already in use"."""
        number = int(self._network.rpartition(".")[2])
        other = PlatformCase("run")
        with (
            patch.object(platform_case, "_fleet_numbers", iter([number - 1])),
            patch.object(os, "getpid", return_value=os.getpid() + NETWORKS),
        ):
            await other.asyncSetUp()
        self.addAsyncCleanup(other.asyncTearDown)
        self.addCleanup(other.doCleanups)
        self.assertNotEqual(other._network, self._network)
