#include <Kernel/Fleet/Reconciler.h>
#include <Kernel/Request/RequestKernel.h>

namespace Peridot {

} // namespace Peridot
