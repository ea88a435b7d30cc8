#include "config/jsonfields.h"

namespace Geraniumsail {

namespace {

/// Counts the values of a text without keeping them. Each event returns whether to go on.
class LimitCheck : public nlohmann::json_sax<Json>
{
public:
    bool null() override
    {
        return onValue();
    }
    bool boolean(bool /*value*/) override
    {
        return onValue();
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return onValue();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return onValue();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return onValue();
    }
    bool string(string_t & /*value*/) override
    {
        return onValue();
    }
    bool binary(binary_t & /*value*/) override
    {
        return onValue();
    }
    bool key(string_t & /*name*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*size*/) override
    {
        return onContainer();
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        return onContainer();
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    bool onValue()
    {
        return ++m_values <= MaxJsonValues;
    }
    bool onContainer()
    {
        return ++m_depth <= MaxJsonDepth && onValue();
    }

    int m_depth = 0;
    std::size_t m_values = 0;
};

} // namespace

Json parseJson(std::string_view text)
{
    if (text.size() > UncheckedJsonBytes) {
        LimitCheck check;
        if (!Json::sax_parse(text, &check)) {
            return Json(Json::value_t::discarded);
        }
    }
    return Json::parse(text, nullptr, false);
}

} // namespace Geraniumsail
