/**
 * Implementation of the interfaces in {@code runtime} with Netty: the event loop, the HTTP client
 * and the connections between controllers; also the HTTP server.
 *
 * <p>Owns all sockets and keeps them within their limit. Everything runs on the single thread of
 * {@link org.sandford.net.NettyLoop}, which also runs the whole controller. Only {@code cli}
 * creates these objects; other packages use them through the interfaces in {@code runtime}.
 */
package org.sandford.net;
