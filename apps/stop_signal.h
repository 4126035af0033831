#pragma once

namespace balsamdrift {

/// Installs the signal handlers: SIGTERM and SIGINT request a stop, SIGHUP requests that the
/// settings are read again, SIGPIPE and SIGXFSZ are ignored.
void watch_signals();

/// Returns a descriptor that becomes readable with each request from now on, so that an event loop
/// need not poll; -1 if none can be opened.
int open_signal_notice();

/// Makes the descriptor unreadable until the next request.
void clear_signal_notice(int descriptor);

/// Returns whether a stop has been requested.
bool stop_requested();

/// Returns whether a request to read the settings again is pending, and clears it.
bool take_reload_request();

}  // namespace balsamdrift
