/**
 * The links between controllers: dialling, handshake, liveness and the encoding of messages.
 *
 * <p>Owns the links and the newest handshake of each peer; a restart loses both. The messages are
 * the generated types in {@code peer.wire}; only their senders and receivers interpret them.
 * Everything runs on the event loop. {@code controller} starts the links and routes the received
 * messages; other packages send on the links.
 */
package org.sandford.peer;
