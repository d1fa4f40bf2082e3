#pragma once

#include <LibBase/Error.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Peridot {

/// Registry of the implementations of \a Interface by name. Implementations register themselves
/// with a static PluginRegistrar beside their definition. \a Arguments are passed to each factory.
template <typename Interface, typename... Arguments>
class PluginRegistry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

    static void add(std::string name, Factory factory)
    {
        factories()[std::move(name)] = std::move(factory);
    }

    /// Errors: UnknownPlugin with the name in the field.
    static Result<std::unique_ptr<Interface>> create(const std::string &name,
                                                     Arguments... arguments)
    {
        const auto found = factories().find(name);
        if (found == factories().end())
            return makeError(ErrorCode::UnknownPlugin, name);
        return found->second(std::forward<Arguments>(arguments)...);
    }

    static std::vector<std::string> names()
    {
        std::vector<std::string> result;
        for (const auto &[name, factory] : factories())
            result.push_back(name);
        return result;
    }

private:
    // Function-local so that registrars of other translation units may run in any order.
    static std::map<std::string, Factory> &factories()
    {
        static std::map<std::string, Factory> instance;
        return instance;
    }
};

/// Static object that adds a factory to \a Registry when its translation unit is initialised.
template <typename Registry>
struct PluginRegistrar
{
    PluginRegistrar(std::string name, typename Registry::Factory factory)
    {
        Registry::add(std::move(name), std::move(factory));
    }
};

} // namespace Peridot
