#pragma once

namespace balsamdrift {

/// Notes SIGTERM and SIGINT as requests to stop and SIGHUP as a request to read the settings again.
void watch_signals();

/// True once a stop was requested.
bool stop_requested();

/// True once after each request to read the settings again.
bool take_reload_request();

}  // namespace balsamdrift
