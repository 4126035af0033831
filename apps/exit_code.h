#pragma once

namespace balsamdrift {

/// Exit codes of balsamdrift and balsamctl, as documented in docs/OPERATIONS.md.
enum class exit_code : int {
    success = 0,
    /// balsamctl: the change was refused (conflict or invalid).
    refused = 1,
    /// The command line is invalid.
    usage = 64,
    /// The settings are invalid.
    settings = 78,
    /// An address or data folder cannot be used, or no control member answered.
    unavailable = 69,
    /// balsamdrift: the operating system gives too few threads or too little memory.
    resources = 71,
};

}  // namespace balsamdrift
