// The only translation unit that compiles the implementation of easylogging++.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
