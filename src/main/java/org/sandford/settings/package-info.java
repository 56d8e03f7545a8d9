/**
 * The settings of one controller, from the platform's TOML file and the operators' INI file; read
 * and validated once at startup.
 *
 * <p>Settings are immutable and thread-safe. {@code cli} loads them and passes them on.
 */
package org.sandford.settings;
