package org.sandford.cancel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sandford.peer.wire.CancellationsRequest;
import org.sandford.peer.wire.CancellationsResponse;
import org.sandford.peer.wire.JobCancelled;
import org.sandford.runtime.ManualEventLoop;
import org.sandford.runtime.MonotonicTime;
import org.sandford.settings.Settings;
import org.sandford.settings.TestSettings;

/** Tests which cancellations count as known and how long leases may be renewed on that basis. */
class CancellationsTest {
  private static final double LEASE_S = 16;
  private static final double CANCEL_S = 46;

  /**
   * Renewals later than this after the moment up to which all is known would let a task exceed the
   * bound.
   */
  private static final double LAST_RENEWAL_S = CANCEL_S - LEASE_S;

  private final ManualEventLoop clock = new ManualEventLoop();
  private final List<Object> sent = new ArrayList<>();
  private final List<String> notified = new ArrayList<>();
  private MonotonicTime storeFreshAt = MonotonicTime.NEVER;
  private MonotonicTime terminalStatesCompleteSince = MonotonicTime.NEVER;
  private long machinesRevision = 10;
  private String incarnationId = "c0#1";

  private static Settings settings() {
    return new TestSettings().withLeases(LEASE_S, CANCEL_S).of("c0", "c1", "c2");
  }

  private Cancellations controller() {
    Cancellations cancellations =
        new Cancellations(
            clock, settings(), new RecordingPeers(), new StoreViewStub(), () -> incarnationId);
    cancellations.start(notified::add);
    return cancellations;
  }

  private final class RecordingPeers implements Cancellations.Peers {
    @Override
    public boolean request(String label, Object message) {
      return sent.add(message);
    }

    @Override
    public void requestAll(Object message) {
      sent.add(message);
    }
  }

  private final class StoreViewStub implements Cancellations.StoreView {
    @Override
    public MonotonicTime freshAt() {
      return storeFreshAt;
    }

    @Override
    public MonotonicTime terminalStatesCompleteSince() {
      return terminalStatesCompleteSince;
    }

    @Override
    public long machinesRevision() {
      return machinesRevision;
    }
  }

  private void readStore() {
    storeFreshAt = MonotonicTime.ofNanos(clock.nanos());
    if (terminalStatesCompleteSince == MonotonicTime.NEVER) {
      terminalStatesCompleteSince = storeFreshAt;
    }
  }

  private CancellationsResponse responseOf(
      String incarnation, long since, long upTo, String... jobs) {
    return new CancellationsResponse(
        clock.nanos(), incarnation, since, upTo, List.of(jobs), machinesRevision);
  }

  private void allPeersRespond(Cancellations c) {
    c.handleResponse("c1", responseOf("c1#1", 0, 0));
    c.handleResponse("c2", responseOf("c2#1", 0, 0));
  }

  @Test
  void noRenewalBeforeTheStoreWasRead() {
    Cancellations c = controller();
    allPeersRespond(c);
    assertFalse(c.mayRenewWorkerLease(true));
    readStore();
    assertTrue(c.mayRenewWorkerLease(true));
  }

  @Test
  void unavailableStoreEndsRenewalsWithinTheBound() {
    Cancellations c = controller();
    readStore();
    clock.advanceSeconds(LAST_RENEWAL_S - 2);
    assertTrue(c.mayRenewWorkerLease(true));
    clock.advanceSeconds(1.5);
    assertFalse(
        c.mayRenewWorkerLease(true),
        "half a second is too little for clock drift, late timers and slow kills");
  }

  @Test
  void renewalsContinueWhileAllPeersRespond() {
    Cancellations c = controller();
    allPeersRespond(c);
    readStore();
    for (int i = 0; i < 100; i++) {
      clock.advanceSeconds(1);
      allPeersRespond(c);
    }
    assertTrue(c.mayRenewWorkerLease(true));
    // The one peer that does not respond may have confirmed cancellations.
    for (int i = 0; i < (int) LAST_RENEWAL_S; i++) {
      clock.advanceSeconds(1);
      c.handleResponse("c1", responseOf("c1#1", 0, 0));
    }
    assertFalse(c.mayRenewWorkerLease(true));
  }

  @Test
  void responseCountsFromItsRequest() {
    Cancellations c = controller();
    allPeersRespond(c);
    readStore();
    clock.advanceSeconds(1);
    CancellationsResponse late = responseOf("c1#1", 0, 0);
    clock.advanceSeconds(LAST_RENEWAL_S);
    c.handleResponse("c1", late);
    c.handleResponse("c2", responseOf("c2#1", 0, 0));
    assertFalse(c.mayRenewWorkerLease(true));
  }

  @Test
  void responseUnderNewerAssignmentMapDoesNotCount() {
    Cancellations c = controller();
    allPeersRespond(c);
    readStore();
    clock.advanceSeconds(LAST_RENEWAL_S);
    CancellationsResponse newer = responseOf("c1#1", 0, 0);
    newer.machinesRevision = machinesRevision + 1;
    c.handleResponse("c1", newer);
    c.handleResponse("c2", responseOf("c2#1", 0, 0));
    assertFalse(
        c.mayRenewWorkerLease(true),
        "another controller may own the machines by now and rely on their leases to expire");
    machinesRevision++;
    c.handleResponse("c1", newer);
    assertTrue(c.mayRenewWorkerLease(true));
  }

  @Test
  void newIncarnationDoesNotCoverTheFormerOne() {
    Cancellations c = controller();
    allPeersRespond(c);
    readStore();
    clock.advanceSeconds(LAST_RENEWAL_S);
    c.handleResponse("c1", responseOf("c1#2", 0, 0));
    c.handleResponse("c2", responseOf("c2#1", 0, 0));
    assertFalse(c.mayRenewWorkerLease(true), "the last confirmations of c1#1 may be missing");
    clock.advanceSeconds(0.1);
    readStore();
    clock.advanceSeconds(LAST_RENEWAL_S);
    c.handleResponse("c1", responseOf("c1#2", 0, 0));
    c.handleResponse("c2", responseOf("c2#1", 0, 0));
    assertTrue(c.mayRenewWorkerLease(true), "the store was read since");
  }

  @Test
  void logThatLostItsBeginningDoesNotCover() {
    Cancellations c = controller();
    allPeersRespond(c);
    readStore();
    clock.advanceSeconds(LAST_RENEWAL_S);
    c.handleResponse("c1", responseOf("c1#1", 7, 9, "wk-8", "wk-9"));
    c.handleResponse("c2", responseOf("c2#1", 0, 0));
    assertFalse(c.mayRenewWorkerLease(true));
    assertEquals(List.of("wk-8", "wk-9"), notified);
  }

  @Test
  void unknownJobsMayHaveBeenCancelledLongAgo() {
    Cancellations c = controller();
    readStore();
    assertFalse(c.mayRenewWorkerLease(false));
    assertTrue(c.mayRenewWorkerLease(true));
    clock.advanceSeconds(CANCEL_S);
    readStore();
    assertFalse(c.mayRenewWorkerLease(false));
    clock.advanceSeconds(3);
    readStore();
    assertTrue(
        c.mayRenewWorkerLease(false),
        "by now the tasks of jobs cancelled before the start have ended");
  }

  @Test
  void confirmationNotifiesPeersAtOnceAndUntilTheyHaveIt() {
    Cancellations c = controller();
    sent.clear();
    c.recordConfirmation("wk-1");
    c.recordConfirmation("wk-1");
    c.recordConfirmation("wk-2");
    assertEquals(List.of(new JobCancelled("wk-1"), new JobCancelled("wk-2")), sent);
    assertEquals(
        List.of("wk-1", "wk-2"), c.handleRequest(new CancellationsRequest(5L, "c0#1", 0L)).jobs);
    assertEquals(List.of("wk-2"), c.handleRequest(new CancellationsRequest(5L, "c0#1", 1L)).jobs);
    assertEquals(List.of(), c.handleRequest(new CancellationsRequest(5L, "c0#1", 2L)).jobs);
    assertEquals(
        List.of("wk-1", "wk-2"),
        c.handleRequest(new CancellationsRequest(5L, "c0#0", 2L)).jobs,
        "the number seen belongs to another incarnation");
    assertEquals(5, c.handleRequest(new CancellationsRequest(5L, "", 0L)).sentAt);
    incarnationId = "";
    assertNull(c.handleRequest(new CancellationsRequest(5L, "", 0L)));
  }

  @Test
  void peersConfirmationsReachTheListener() {
    Cancellations c = controller();
    c.handleNotification(new JobCancelled("wk-1"));
    c.handleResponse("c1", responseOf("c1#1", 0, 2, "wk-1", "wk-2"));
    assertEquals(List.of("wk-1", "wk-1", "wk-2"), notified);
  }
}
