package org.sandford.settings;

/**
 * Thrown when settings are invalid; the message is one line that names the file, the key and the
 * expected value.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a one-line message. */
  public SettingsException(String message) {
    super(message);
  }
}
