#pragma once

#include <csignal>

/** Blocks the signals that a daemon handles (SIGTERM, SIGINT, SIGHUP) until it has handlers. */
namespace lugfork {

/** Changes the thread's signal mask. @param how SIG_BLOCK or SIG_UNBLOCK. */
inline void maskStopSignals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(how, &signals, nullptr);
}

/**
 * Blocks the signals in this thread and the threads that it starts. Must be called first: a SIGTERM
 * in the first milliseconds would otherwise end the daemon without a planned stop.
 */
inline void blockStopSignals() {
  maskStopSignals(SIG_BLOCK);
}

/** Delivers pending and later signals; must be called once the handlers are installed. */
inline void unblockStopSignals() {
  maskStopSignals(SIG_UNBLOCK);
}

}  // namespace lugfork
