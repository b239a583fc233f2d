"""Models as callers name them: "deployment" or "deployment:adapter"."""

from __future__ import annotations

import typing

import attrs

from cactusstile import verdict

if typing.TYPE_CHECKING:
    from cactusstile.state import model


@attrs.frozen
class ModelName:
    """A model that is available to a caller.

    Attributes:
      deployment: Model deployment.
      adapter: "name@version" of the adapter; empty if there is none.
    """

    deployment: str
    adapter: str = ""


def resolve(fleet: model.Fleet, workspace: str, name: str) -> ModelName:
    """Returns the deployment and adapter that `name` denotes.

    A deployment that the workspace may not use is reported as unknown.

    Raises:
      RefusedError: If there is no such model for the workspace.
    """
    deployment_name, _, adapter_name = name.partition(":")
    deployment = fleet.deployments.get(deployment_name)
    if deployment is None or not _is_allowed(deployment, workspace):
        raise _unknown_model_error(name)
    if not adapter_name:
        return ModelName(deployment_name)
    for adapter in deployment.adapters:
        if adapter_name in (adapter, adapter.partition("@")[0]):
            return ModelName(deployment_name, adapter)
    raise _unknown_model_error(name)


def list_names(fleet: model.Fleet, workspace: str) -> list[str]:
    """Returns the sorted names of the models that a workspace may use."""
    names = []
    for deployment in fleet.deployments.values():
        if not _is_allowed(deployment, workspace):
            continue
        names.append(deployment.name)
        names += [
            f"{deployment.name}:{adapter.partition('@')[0]}"
            for adapter in deployment.adapters
        ]
    return sorted(names)


def _is_allowed(deployment: model.Deployment, workspace: str) -> bool:
    return not deployment.workspaces or workspace in deployment.workspaces


def _unknown_model_error(name: str) -> verdict.RefusedError:
    return verdict.refuse(
        verdict.Reason.UNKNOWN_MODEL,
        f"the model {name!r} does not exist for this workspace; see /v1/models",
    )
