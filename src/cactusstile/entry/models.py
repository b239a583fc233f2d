"""Models as callers name them: "deployment" or "deployment:adapter"."""

from __future__ import annotations

import typing

import attrs

from cactusstile import verdict

if typing.TYPE_CHECKING:
    from cactusstile.state import model


@attrs.frozen
class ModelName:
    """A model that a caller may use.

    Attributes:
      deployment: Model deployment.
      adapter: "name@version" of the adapter, empty without one.
    """

    deployment: str
    adapter: str = ""


def resolve(fleet: model.Fleet, workspace: str, name: str) -> ModelName:
    """Returns the deployment and adapter that `name` stands for.

    A deployment that the workspace may not use looks like an unknown one.

    Raises:
      RefusedError: If there is no such model for the workspace.
    """
    deployment_name, _, adapter_name = name.partition(":")
    deployment = fleet.deployments.get(deployment_name)
    if deployment is None or not _is_admitted(deployment, workspace):
        raise _unknown(name)
    if not adapter_name:
        return ModelName(deployment_name)
    for adapter in deployment.adapters:
        if adapter_name in (adapter, adapter.partition("@")[0]):
            return ModelName(deployment_name, adapter)
    raise _unknown(name)


def list_names(fleet: model.Fleet, workspace: str) -> list[str]:
    """Returns the models that a workspace may use, by name."""
    names = []
    for deployment in fleet.deployments.values():
        if not _is_admitted(deployment, workspace):
            continue
        names.append(deployment.name)
        names += [
            f"{deployment.name}:{adapter.partition('@')[0]}"
            for adapter in deployment.adapters
        ]
    return sorted(names)


def _is_admitted(deployment: model.Deployment, workspace: str) -> bool:
    return not deployment.workspaces or workspace in deployment.workspaces


def _unknown(name: str) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.UNKNOWN_MODEL,
        f"the model {name!r} does not exist for this workspace; see /v1/models",
    )
