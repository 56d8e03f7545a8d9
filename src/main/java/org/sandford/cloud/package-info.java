/**
 * Client of the cloud that provides the machines. Its only state is the queue of requests. Names of
 * the cloud's protocol are translated here and used nowhere else. Everything runs on the event
 * loop. Only {@code scaling} calls the client; other packages use {@code InstanceType}.
 */
package org.sandford.cloud;
