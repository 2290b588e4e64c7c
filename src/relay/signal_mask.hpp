// Holds back signals while a process cannot handle them.
#ifndef DOTTERELLOCK_RELAY_SIGNAL_MASK_HPP
#define DOTTERELLOCK_RELAY_SIGNAL_MASK_HPP

#include <csignal>
#include <initializer_list>

#include <pthread.h>

namespace dotterellock
{

/// Signals that arrive at this thread while they are blocked stay pending.
inline void block_signals(std::initializer_list<int> signals, bool blocked)
{
    sigset_t set;
    sigemptyset(&set);
    for (int const signal : signals)
        sigaddset(&set, signal);
    ::pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &set, nullptr);
}

} // namespace dotterellock

#endif
