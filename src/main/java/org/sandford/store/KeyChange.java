package org.sandford.store;

/** The latest change of one key: its new value ({@link StoreClient.Entry}) or its removal. */
public sealed interface KeyChange permits StoreClient.Entry, KeyChange.Removal {
  /** Returns the key. */
  String key();

  /** Returns the store's revision of this change; it increases with every change of any key. */
  long revision();

  /** The removal of a key. */
  record Removal(String key, long revision) implements KeyChange {}
}
