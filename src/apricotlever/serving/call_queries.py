"""Describes calls for the router, which chooses runners by them."""

from ..runners import model as models
from ..runners import prefix

from . import configuration_model
from . import messages


def query_of(
    call: messages.CallerCall,
    route: configuration_model.Route,
    service: configuration_model.Service | None,
    pool: str,
    excluded: frozenset[str],
) -> models.Query:
    """Describe a call for the router.

    :param service: the service as configured; None if it is not known.
    :param pool: the service's name.
    :param excluded: runners that must not be chosen.
    """
    prompt = call.prompt
    if prompt is None:
        return models.Query(
            route.name,
            pool,
            "",
            excluded=excluded,
            wanted_first_token_s=route.objective_s,
        )
    shared = prefix.part_block_hashes(
        (part.part_id, part.tokens) for part in prompt.parts[:-1]
    )
    return models.Query(
        route.name,
        pool,
        "",
        prefix.part_block_hashes(
            ((part.part_id, part.tokens) for part in prompt.parts[-1:]),
            shared,
        ),
        prompt.tokens_in,
        prompt.tokens_out,
        excluded=excluded,
        wanted_first_token_s=route.objective_s,
        shared_blocks=len(shared),
        can_copy=_can_copy(service),
    )


def cache_blocks(service: configuration_model.Service | None) -> int:
    """The number of blocks that a runner of a service can cache."""
    if service is None or service.engine is None:
        return 0
    return service.engine.cache_tokens // prefix.TOKENS_PER_BLOCK


def _can_copy(service: configuration_model.Service | None) -> bool:
    return bool(service and service.engine and service.engine.can_copy_cache)
