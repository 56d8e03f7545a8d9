/**
 * Assembles one controller: creates and connects its components, and routes messages between
 * controllers to the component that handles them.
 *
 * <p>Keeps only the components and the assignment revisions that it last sent. Runs on the event
 * loop. Called by {@code cli} and by tests; the components don't depend on it.
 */
package org.sandford.controller;
