#include <dotterellock/types.hpp>

#include <dotterellock/error.hpp>

namespace dotterellock
{

char const* to_string(rank r)
{
    switch (r)
    {
    case rank::urgent:
        return "urgent";
    case rank::standard:
        return "standard";
    case rank::background:
        return "background";
    }
    return "invalid";
}

rank rank_from_string(std::string const& name)
{
    for (rank const r : all_ranks)
    {
        if (name == to_string(r))
            return r;
    }
    throw error(
        error_code::invalid_argument, "parse_rank", "",
        "unknown rank '" + name + "'; allowed: urgent, standard, background");
}

std::string to_string(model_ref const& model)
{
    std::string text = model.name;
    if (!model.adapter.empty())
        text += ":" + model.adapter;
    if (!model.version.empty())
        text += "@" + model.version;
    return text;
}

} // namespace dotterellock
