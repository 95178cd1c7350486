"""Loads a node's configuration from the operator's TOML file.

The `LB_` variables override keys of the file, as they override keys of the platform's JSON.
"""

from __future__ import annotations

import os
from collections.abc import Mapping

from rosewheel.config.address import Address, parse_address
from rosewheel.config.environment import ENVIRONMENT_KEYS, inherited_descriptor, random_seed
from rosewheel.config.errors import ConfigError, InvalidFileError, InvalidValueError
from rosewheel.config.node_config import ControlConfig, InitialEndpoints, NodeConfig
from rosewheel.config.operator_config import OperatorConfig
from rosewheel.config.operator_tables import EndpointTable
from rosewheel.config.toml_file import read_file


def load_operator_config(
    path: str, environ: Mapping[str, str] = os.environ, reload: bool = False
) -> NodeConfig:
    """Load the operator's file.

    Args:
        path: path of the file.
        environ: the environment variables.
        reload: whether the node is already running. The file is then newer than the environment, so its discovery
            address overrides LB_DISCOVERY.

    Raises:
        ConfigError: the file or a variable is invalid; the message is one line, with the first error.
    """
    try:
        file = read_file(path, OperatorConfig)
    except InvalidFileError as error:
        more = len(error.problems) - 1
        hint = f" (and {more} more: `rosewheel check {path}` lists all)" if more else ""
        raise ConfigError(error.messages()[0] + hint, error.key) from error
    values = _apply_environment(file, environ, reload)
    return NodeConfig(
        name=values["name"],
        listen_address=_address(values, "listen"),
        discovery_address=_address(values, "discovery"),
        seed=int(file.node.seed, 16) if file.node.seed else random_seed(),
        settings=file.to_settings(),
        limits=file.to_limits(),
        initial_endpoints=InitialEndpoints(
            0, [_endpoint_row(row) for row in file.discovery.initial_endpoints]
        ),
        admin_address=_address(values, "ops") if values["ops"] else None,
        inherited_descriptor=inherited_descriptor(environ),
        state_folder=file.node.state_folder or environ.get("TMPDIR") or None,
        state_on_disk=bool(file.node.state_folder),
        control=ControlConfig(file.control.addresses(), file.control.service, file) if file.control else None,
    )


def _apply_environment(file: OperatorConfig, environ: Mapping[str, str], reload: bool) -> dict[str, str]:
    """Return the values that the environment may override, by the keys in ENVIRONMENT_KEYS."""
    values = {
        "name": file.node.name,
        "listen": file.node.listen_address,
        "ops": file.node.admin_address,
        "discovery": file.discovery.address,
    }
    for variable, key in ENVIRONMENT_KEYS:
        if environ.get(variable) and not (reload and key == "discovery"):
            values[key] = environ[variable]
    return values


def _address(values: Mapping[str, str], key: str) -> Address:
    try:
        return parse_address(values[key])
    except ValueError as error:
        raise InvalidValueError(key, str(error)) from error


def _endpoint_row(row: EndpointTable) -> dict[str, object]:
    """Return the endpoint in discovery's JSON form."""
    return {"host": row.host, "dial": row.address, "site": row.zone, "block": row.cell, "health": "active"}
