#pragma once

#include <csignal>

/** Holds the signals that a daemon handles (SIGTERM, SIGINT, SIGHUP) until its handlers exist. */
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
 * Keeps them waiting, in this thread and those that it starts. To be called before anything else: a
 * SIGTERM in a start's first milliseconds would end the daemon without its planned stop.
 */
inline void holdStopSignals() {
  maskStopSignals(SIG_BLOCK);
}

/** Delivers those that wait and all that come; to be called once their handlers exist. */
inline void deliverStopSignals() {
  maskStopSignals(SIG_UNBLOCK);
}

}  // namespace lugfork
