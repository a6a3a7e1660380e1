// WakeEvent.h: wakes a thread that waits in poll().
#ifndef caraway_net_WakeEvent_h
#define caraway_net_WakeEvent_h

namespace caraway {

class WakeEvent
{
public:
  WakeEvent(); // throws std::runtime_error if there is no free descriptor
  ~WakeEvent();
  WakeEvent(const WakeEvent&) = delete;
  WakeEvent& operator=(const WakeEvent&) = delete;

  // Makes the descriptor readable until Clear().
  void Signal() const;
  void Clear() const;
  int Descriptor() const { return mDescriptor; }

private:
  int mDescriptor;
};

} // namespace caraway

#endif
