"""Parses the bodies of completion requests and builds those of the responses."""

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
from .decoding import decode_json
from .refusal import Reason, Refusal, RunStatus
from .relay import Piece

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"

# Sampling parameters that are forwarded. All other fields are dropped, so that no
# information about the caller reaches an engine.
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
    """A validated request body.

    Parameters
    ----------
    path : str
        Request path at the engine.
    model : str
        Model name as given by the caller.
    prompt : str
        Prompt; for a chat the messages, joined in the same way as by engines.
    max_tokens : int
        Maximum number of tokens to generate.
    stream : bool
        Whether the response is sent as server-sent events.
    fields : mapping of str to object
        Fields that are forwarded to the engine, without the model.
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
        """Whether this is a chat completion."""
        return self.path == CHAT_PATH

    def body_for(self, model: ResolvedModel) -> bytes:
        """Encode the request body for an engine, which always streams."""
        return msgspec.json.encode(
            {
                "model": model.model,
                **self.fields,
                "max_tokens": self.max_tokens,
                "stream": True,
            }
        )


def parse_completion(path: str, body: bytes) -> Result[CompletionRequest, Refusal]:
    """Parse and validate the body of a completion request.

    Returns
    -------
    Result
        The request, or an `INVALID_REQUEST` refusal that says what was expected.
    """
    try:
        values = decode_json(body)
    except msgspec.DecodeError:
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
    # Computed only once, because it encodes the whole prompt.
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
    """Builds the response from an engine's pieces, streamed or as one body.

    The engine's request ID and model name are replaced by those the caller knows.

    Parameters
    ----------
    request_id : str
        ID of the call; each attempt at an engine has an ID of its own.
    model : ResolvedModel
        Model that is named in the response.
    request : CompletionRequest
        The validated request.
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
            The piece as received from the engine.
        engine_id : str
            Request ID of the attempt at the engine.
        """
        if engine_id != self._engine_id:
            adapter = self._model.partition(MODEL_SEPARATOR)[0]
            self._engine_id = engine_id
            self._engine_prefix = _json_prefix(engine_id, adapter)
        data = piece.data
        # Most pieces start with ID and model, which are replaced without decoding
        # the rest.
        if data.startswith(self._engine_prefix):
            data = self._prefix + data[len(self._engine_prefix) :]
        else:
            data = msgspec.json.encode(self._decode(piece))
        return b"%b%d\ndata: %b\n\n" % (self._event_id, piece.offset, data)

    def add(self, piece: Piece) -> None:
        """Append a piece to the response body."""
        for choice in self._decode(piece).get("choices", []):
            part = choice.get("delta", choice) if self._request.is_chat else choice
            text = part.get("content" if self._request.is_chat else "text")
            self._content.append(text or "")
            self._finish_reason = choice.get("finish_reason") or self._finish_reason

    def encode_response(self, prompt_tokens: int, generated_tokens: int) -> bytes:
        """Encode the complete response body."""
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
            values = decode_json(piece.data)
        except msgspec.DecodeError as error:
            raise RefusedError(_malformed_piece()) from error
        if not isinstance(values, dict):
            raise RefusedError(_malformed_piece())
        values["id"] = self._request_id
        values["model"] = self._model
        return values


def _json_prefix(request_id: str, model: str) -> bytes:
    """Return the start of a compact JSON object, up to the ID and model fields."""
    head = msgspec.json.encode({"id": request_id, "model": model})
    return head[:-1] + b","


def _malformed_piece() -> Refusal:
    return Refusal(
        Reason.BACKEND_FAILED,
        RunStatus.UNKNOWN,
        1.0,
        "a piece of the answer is malformed",
    )
