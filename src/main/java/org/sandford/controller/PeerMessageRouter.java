package org.sandford.controller;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Dispatches messages from other controllers by type. Each type has one handler, registered before
 * the links start; a message without one is logged and dropped. Runs on the event loop.
 */
final class PeerMessageRouter {
  private static final Logger log = LoggerFactory.getLogger(PeerMessageRouter.class);

  /** Handles a request; it may reply at once, later, or not at all. */
  interface RequestHandler<T> {
    void handle(String sender, T request, Consumer<Object> reply);
  }

  private final Map<Class<?>, RequestHandler<Object>> requestHandlers = new HashMap<>();
  private final Map<Class<?>, BiConsumer<String, Object>> responseHandlers = new HashMap<>();

  <T> void onRequest(Class<T> type, RequestHandler<T> handler) {
    requestHandlers.put(
        type, (sender, request, reply) -> handler.handle(sender, type.cast(request), reply));
  }

  /** Registers the handler of a request that gets no reply. */
  <T> void onRequest(Class<T> type, Consumer<T> handler) {
    onRequest(type, (sender, request, reply) -> handler.accept(request));
  }

  <T> void onResponse(Class<T> type, BiConsumer<String, T> handler) {
    responseHandlers.put(type, (sender, response) -> handler.accept(sender, type.cast(response)));
  }

  /** Registers the handler of a response whose sender does not matter. */
  <T> void onResponse(Class<T> type, Consumer<T> handler) {
    onResponse(type, (sender, response) -> handler.accept(response));
  }

  void dispatchRequest(String sender, Object request, Consumer<Object> reply) {
    RequestHandler<Object> handler = requestHandlers.get(request.getClass());
    if (handler == null) {
      log.info("peer request unhandled sender={} type={}", sender, typeName(request));
      return;
    }
    handler.handle(sender, request, reply);
  }

  void dispatchResponse(String sender, Object response) {
    BiConsumer<String, Object> handler = responseHandlers.get(response.getClass());
    if (handler == null) {
      log.info("peer response unhandled sender={} type={}", sender, typeName(response));
      return;
    }
    handler.accept(sender, response);
  }

  private static String typeName(Object message) {
    return message.getClass().getSimpleName();
  }
}
