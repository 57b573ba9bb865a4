"""Bodies of completions: checks those of callers and builds those of answers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from .admission import (
    DEFAULT_MAX_TOKENS,
    MAX_TOKENS_LIMIT,
    MODEL_SEPARATOR,
    RequestCost,
    ResolvedModel,
    request_cost,
)
from .calls import RefusedError
from .refusal import Reason, Refusal, RunStatus
from .relay import Piece

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"

# Sampling parameters that are passed on; everything else in the body is
# dropped, so that nothing about the caller reaches an engine.
FORWARDED_FIELDS = (
    "temperature",
    "top_p",
    "top_k",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
)


@dataclass(slots=True, frozen=True)
class CompletionRequest:
    """A checked request body.

    Parameters
    ----------
    path : str
        Path at the engine.
    model : str
        Name of the model as the caller gave it.
    prompt : str
        Prompt, or the messages of a chat as engines join them.
    max_tokens : int
        Most tokens of the answer.
    stream : bool
        Whether the caller wants server-sent events.
    fields : mapping of str to object
        Fields for the engine, without the model.
    cost : RequestCost
        Tokens to reserve.
    """

    path: str
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    fields: Mapping[str, Any]
    cost: RequestCost

    @property
    def is_chat(self) -> bool:
        """Whether the answer has the shape of a chat completion."""
        return self.path == CHAT_PATH

    def body_for(self, model: ResolvedModel) -> bytes:
        """Encode the body for an engine."""
        return msgspec.json.encode(
            {
                "model": model.model,
                **self.fields,
                "max_tokens": self.max_tokens,
                "stream": True,
            }
        )


def parse_completion(path: str, body: bytes) -> Result[CompletionRequest, Refusal]:
    """Check the body of a completion.

    Returns
    -------
    Result
        The request, or `INVALID_REQUEST` with what was expected.
    """
    try:
        values = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _invalid_request("the body must be JSON")
    if not isinstance(values, dict):
        return _invalid_request("the body must be a JSON object")
    model = values.get("model")
    if not isinstance(model, str) or not model:
        return _invalid_request("model must name an adapter")
    content_field = "messages" if path == CHAT_PATH else "prompt"
    content = values.get(content_field)
    if path == CHAT_PATH:
        if not isinstance(content, list) or not _is_message_list(content):
            return _invalid_request(
                "messages must be a list of objects with role and content"
            )
        prompt = "\n".join(f"{part['role']}: {part['content']}" for part in content)
    elif isinstance(content, str):
        prompt = content
    else:
        return _invalid_request("prompt must be a text")
    max_tokens = values.get("max_tokens")
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if not isinstance(max_tokens, int) or not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        return _invalid_request(f"max_tokens must be between 1 and {MAX_TOKENS_LIMIT}")
    if values.get("n", 1) != 1:
        return _invalid_request("n must be 1")
    stream = values.get("stream", False)
    if not isinstance(stream, bool):
        return _invalid_request("stream must be true or false")
    fields = {name: values[name] for name in FORWARDED_FIELDS if name in values}
    fields[content_field] = content
    # Computed once, because it encodes the prompt.
    cost = request_cost(prompt, max_tokens)
    return Success(
        CompletionRequest(path, model, prompt, max_tokens, stream, fields, cost)
    )


def _is_message_list(content: list[Any]) -> bool:
    return bool(content) and all(
        isinstance(message, dict)
        and isinstance(message.get("role"), str)
        and "content" in message
        for message in content
    )


def _invalid_request(detail: str) -> Result[CompletionRequest, Refusal]:
    return Failure(Refusal(Reason.INVALID_REQUEST, detail=detail))


class ResponseBuilder:
    """Names request and model in the pieces, and joins them to one answer.

    Parameters
    ----------
    request_id : str
        Identity of the call, which engines know under attempt names.
    model : ResolvedModel
        Model that is named in the answer.
    request : CompletionRequest
        What was asked for.
    """

    __slots__ = (
        "_content",
        "_engine_id",
        "_engine_prefix",
        "_event_id",
        "_finish_reason",
        "_model",
        "_prefix",
        "_request",
        "_request_id",
    )

    def __init__(
        self, request_id: str, model: ResolvedModel, request: CompletionRequest
    ) -> None:
        self._request_id = request_id
        self._model = model.model
        self._request = request
        self._content: list[str] = []
        self._finish_reason: str | None = None
        self._event_id = b"id: %b:" % request_id.encode()
        self._prefix = _json_prefix(request_id, model.model)
        self._engine_id = ""
        self._engine_prefix = b""

    def encode_event(self, piece: Piece, engine_id: str) -> bytes:
        """Encode a piece as a server-sent event for the caller.

        Parameters
        ----------
        piece : Piece
            The piece as received.
        engine_id : str
            Identity under which the engine knows the request.
        """
        if engine_id != self._engine_id:
            adapter = self._model.partition(MODEL_SEPARATOR)[0]
            self._engine_id = engine_id
            self._engine_prefix = _json_prefix(engine_id, adapter)
        data = piece.data
        # Most pieces start with identity and model, which are replaced without
        # decoding the rest.
        if data.startswith(self._engine_prefix):
            data = self._prefix + data[len(self._engine_prefix) :]
        else:
            data = msgspec.json.encode(self._decode(piece))
        return b"%b%d\ndata: %b\n\n" % (self._event_id, piece.offset, data)

    def add(self, piece: Piece) -> None:
        """Add a piece to the joined answer."""
        for choice in self._decode(piece).get("choices", []):
            part = choice.get("delta", choice) if self._request.is_chat else choice
            text = part.get("content" if self._request.is_chat else "text")
            self._content.append(text or "")
            self._finish_reason = choice.get("finish_reason") or self._finish_reason

    def encode_response(self, prompt_tokens: int, generated_tokens: int) -> bytes:
        """Encode the whole answer."""
        text = "".join(self._content)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason}
        if self._request.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return msgspec.json.encode(
            {
                "id": self._request_id,
                "object": "chat.completion"
                if self._request.is_chat
                else "text_completion",
                "model": self._model,
                "choices": [choice],
                "usage": {
                    "prompt_tokens": prompt_tokens,
                    "completion_tokens": generated_tokens,
                    "total_tokens": prompt_tokens + generated_tokens,
                },
            }
        )

    def _decode(self, piece: Piece) -> dict[str, Any]:
        try:
            values = msgspec.json.decode(piece.data)
        except msgspec.DecodeError as error:
            raise RefusedError(_malformed_piece()) from error
        if not isinstance(values, dict):
            raise RefusedError(_malformed_piece())
        values["id"] = self._request_id
        values["model"] = self._model
        return values


def _json_prefix(request_id: str, model: str) -> bytes:
    """Return the start of a compact JSON object that names request and model."""
    head = msgspec.json.encode({"id": request_id, "model": model})
    return head[:-1] + b","


def _malformed_piece() -> Refusal:
    return Refusal(
        Reason.BACKEND_FAILED,
        RunStatus.UNKNOWN,
        1.0,
        "a piece of the answer is malformed",
    )
