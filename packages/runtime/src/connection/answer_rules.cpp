#include "cornelstall/runtime/connection/answer_rules.hpp"

namespace cornelstall
{

namespace
{

constexpr std::string_view line_end{"\r\n"};
constexpr std::string_view head_end{"\r\n\r\n"};

}  // namespace

std::string_view received_head(const boost::beast::flat_buffer& received)
{
    const std::string_view all(static_cast<const char*>(received.data().data()), received.size());
    const auto end = all.find(head_end);
    return end == std::string_view::npos ? all : all.substr(0, end + head_end.size());
}

bool is_whole_head(std::string_view head)
{
    return head.ends_with(head_end);
}

bool has_folded_line(std::string_view head)
{
    auto end = head.find(line_end);
    while (end != std::string_view::npos)
    {
        head.remove_prefix(end + line_end.size());
        if (head.starts_with(' ') || head.starts_with('\t'))
        {
            return true;
        }
        end = head.find(line_end);
    }
    return false;
}

}  // namespace cornelstall
